package dunlinhitch.scoring.host;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URL;
import java.net.URLConnection;
import java.net.URLStreamHandler;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collections;
import java.util.Enumeration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.jar.JarEntry;
import java.util.jar.JarInputStream;

/**
 * The classes of one plug-in's jar, read whole into memory: the file may be written over or removed
 * while they are in use, no descriptor stays open, and all goes with the last reference to it.
 */
final class JarLoader extends ClassLoader {
  private static final long MOST_BYTES = 16 << 20;

  private final Map<String, byte[]> entries = new HashMap<>();
  private final String digest;

  JarLoader(Path jar) throws IOException {
    super(jar.getFileName().toString(), ApiOnly.INSTANCE);
    if (Files.size(jar) > MOST_BYTES) {
      throw new IOException(jar.getFileName() + " is larger than " + MOST_BYTES + " bytes");
    }
    byte[] file = Files.readAllBytes(jar);
    digest = digest(file);
    long left = 4 * MOST_BYTES;
    try (JarInputStream in = new JarInputStream(new ByteArrayInputStream(file), false)) {
      for (JarEntry entry = in.getNextJarEntry(); entry != null; entry = in.getNextJarEntry()) {
        byte[] bytes = in.readNBytes((int) Math.min(left + 1, Integer.MAX_VALUE));
        left -= bytes.length;
        if (left < 0) {
          throw new IOException(
              jar.getFileName() + " unpacks to more than " + 4 * MOST_BYTES + " bytes");
        }
        entries.put(entry.getName(), bytes);
      }
    }
    if (entries.isEmpty()) {
      throw new IOException(jar.getFileName() + " is no jar, or an empty one");
    }
  }

  private static String digest(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java has SHA-256", e);
    }
  }

  /** What the file held, to tell whether it has changed. */
  String digest() {
    return digest;
  }

  @Override
  protected Class<?> findClass(String name) throws ClassNotFoundException {
    byte[] bytes = entries.get(name.replace('.', '/') + ".class");
    if (bytes == null) {
      throw new ClassNotFoundException(name);
    }
    return defineClass(name, bytes, 0, bytes.length);
  }

  @Override
  protected URL findResource(String name) {
    byte[] bytes = entries.get(name);
    try {
      return bytes == null ? null : new URL("plugin", "", -1, "/" + name, new InMemory(bytes));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  protected Enumeration<URL> findResources(String name) {
    URL found = findResource(name);
    return Collections.enumeration(found == null ? List.of() : List.of(found));
  }

  private static final class InMemory extends URLStreamHandler {
    private final byte[] bytes;

    private InMemory(byte[] bytes) {
      this.bytes = bytes;
    }

    @Override
    protected URLConnection openConnection(URL url) {
      return new URLConnection(url) {
        @Override
        public void connect() {
          // it is here
        }

        @Override
        public InputStream getInputStream() {
          return new ByteArrayInputStream(bytes);
        }
      };
    }
  }
}
