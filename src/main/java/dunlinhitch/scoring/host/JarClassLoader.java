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
 * Loads the classes of one plug-in's jar from memory. The file may be overwritten or removed while
 * its classes are in use, and no file descriptor remains open. The classes can be garbage collected
 * once the loader is no longer referenced.
 */
final class JarClassLoader extends ClassLoader {
  /** Size limit of a jar file. */
  private static final long MAX_JAR_BYTES = 16 << 20;

  /** Limit on the total uncompressed size of the entries of a jar. */
  private static final long MAX_UNPACKED_BYTES = 4 * MAX_JAR_BYTES;

  private final Map<String, byte[]> entries = new HashMap<>();
  private final String digest;

  /** Reads the jar. */
  JarClassLoader(Path jar) throws IOException {
    super(jar.getFileName().toString(), ApiClassLoader.INSTANCE);
    if (Files.size(jar) > MAX_JAR_BYTES) {
      throw new IOException(jar.getFileName() + " is larger than " + MAX_JAR_BYTES + " bytes");
    }
    byte[] file = Files.readAllBytes(jar);
    digest = digest(file);
    readEntries(jar, file);
    if (entries.isEmpty()) {
      throw new IOException(jar.getFileName() + " is not a jar file or has no entries");
    }
  }

  private void readEntries(Path jar, byte[] file) throws IOException {
    long remaining = MAX_UNPACKED_BYTES;
    try (JarInputStream in = new JarInputStream(new ByteArrayInputStream(file), false)) {
      for (JarEntry entry = in.getNextJarEntry(); entry != null; entry = in.getNextJarEntry()) {
        byte[] bytes = in.readNBytes((int) Math.min(remaining + 1, Integer.MAX_VALUE));
        remaining -= bytes.length;
        if (remaining < 0) {
          throw new IOException(
              jar.getFileName() + " unpacks to more than " + MAX_UNPACKED_BYTES + " bytes");
        }
        entries.put(entry.getName(), bytes);
      }
    }
  }

  private static String digest(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is not available, although every Java platform must support it", e);
    }
  }

  /** SHA-256 digest of the file, used to detect changes. */
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
      return bytes == null
          ? null
          : new URL("plugin", "", -1, "/" + name, new InMemoryHandler(bytes));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  protected Enumeration<URL> findResources(String name) {
    URL url = findResource(name);
    return Collections.enumeration(url == null ? List.of() : List.of(url));
  }

  /** Opens streams of the bytes of one entry. */
  private static final class InMemoryHandler extends URLStreamHandler {
    private final byte[] bytes;

    private InMemoryHandler(byte[] bytes) {
      this.bytes = bytes;
    }

    @Override
    protected URLConnection openConnection(URL url) {
      return new URLConnection(url) {
        @Override
        public void connect() {
          // No connection is needed, because the bytes are in memory.
        }

        @Override
        public InputStream getInputStream() {
          return new ByteArrayInputStream(bytes);
        }
      };
    }
  }
}
