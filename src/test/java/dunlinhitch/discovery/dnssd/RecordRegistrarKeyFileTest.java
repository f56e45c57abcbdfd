package dunlinhitch.discovery.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.TSIG;

/** Reads TSIG keys from files. */
class RecordRegistrarKeyFileTest {
  private static final String SECRET = "MDEyMzQ1Njc4OWFiY2RlZg==";
  @TempDir private Path folder;

  private Path keyFile(String text) throws IOException {
    return Files.writeString(folder.resolve("key"), text);
  }

  @Test
  void readsNameAlgorithmAndSecretOfOneLine() throws IOException {
    TSIG key = RecordRegistrar.readKeyFile(keyFile(" broker.  hmac-sha256\t" + SECRET + "\n"));
    Message message = new Message();
    message.setTSIG(key);
    byte[] wire = message.toWire(DnsTcpFraming.MAX_MESSAGE_BYTES);
    TSIG same = new TSIG(TSIG.HMAC_SHA256, "broker.", SECRET);
    assertEquals(Rcode.NOERROR, same.verify(new Message(wire), wire, null));
  }

  @Test
  void rejectsAnotherNumberOfFields() throws IOException {
    Path file = keyFile("broker. hmac-sha256\n");
    IOException failure = assertThrows(IOException.class, () -> RecordRegistrar.readKeyFile(file));
    assertEquals(
        file + ": expected NAME ALGORITHM SECRET, separated by white space", failure.getMessage());
  }
}
