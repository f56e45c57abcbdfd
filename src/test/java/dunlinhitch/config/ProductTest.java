package dunlinhitch.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Values read from the product's settings file, and the positions and texts of errors. */
class ProductTest {
  @TempDir private Path folder;

  private Path write(String name, String content) throws IOException {
    return Files.writeString(folder.resolve(name), content);
  }

  @Test
  void readsAFileWithEverySection() throws IOException {
    write(
        "more.conf",
        """
        [announce]
        server 127.0.0.1:53
        zone example.org
        service _b._tcp.example.org
        instance "east wing # 1" # a comment
        address 127.0.0.1:7070
        txt v=1
        txt w=2
        """);
    Path file =
        write(
            "dunlinhitch.conf",
            """
                # a comment
                discovery off
                state_dir state

                [flight]
                listen 127.0.0.1:8815
                [dns_sd rooms]
                  server 127.0.0.1:5353
                  server [::1]:5353
                  service _calendar._tcp.rooms.example.org
                  soa_every 250ms
                  push ns.example.org:853
                [membership]
                linger 5s
                stale_for 1d
                include more.conf
                """);
    Product product = Product.read(file);
    assertEquals(8815, product.flight().port());
    assertEquals(folder.resolve("state"), product.stateDir());
    assertEquals(250_000, product.dnsSd().get(0).soaEveryUs());
    assertEquals(2, product.dnsSd().get(0).servers().size());
    assertEquals(5_000_000, product.membership().lingerUs());
    assertEquals(86_400_000_000L, product.membership().staleForUs());
    assertEquals("east wing # 1", product.announcement().instance());
    assertEquals(List.of("v=1", "w=2"), product.announcement().txt());
    assertEquals("east-wing-1", product.announcement().target());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
            lisen 127.0.0.1:1 | 1:1: unknown directive: lisen; expected one of discovery, state_dir
            dicovery off | 1:1: unknown directive: dicovery; did you mean discovery?
            [fligt] | 1:1: unknown section: [fligt]; did you mean flight?
            [flight]~lisen 127.0.0.1:1 | 2:1: unknown directive in [flight]: lisen; did you mean listen?
            [flight]~listen 127.0.0.1 | 2:8: listen must be HOST:PORT, not 127.0.0.1
            [flight] | 1:1: [flight] requires listen: HOST:PORT
            [flight]~listen 127.0.0.1:1~listen 127.0.0.1:2 | 3:1: listen is already set on line 2
            [dns_sd]~server 127.0.0.1:1 | 1:1: this section requires a name: [dns_sd NAME]
            [membership]~linger 5 | 2:8: linger must be a duration with a unit (d h m ms s us), such as 250ms, not 5
            [membership]~linger | 2:1: linger requires one argument: a duration such as 250ms, 10s, 5m or 1h
            state_dir "x | 1:11: missing closing quote on this line
            include nowhere.conf | nowhere.conf: file not found
            include dunlinhitch.conf | 1:1: file includes itself
            [dns_sd a]~server 127.0.0.1:1~service calendar.example | 3:9: service must be _NAME._tcp or _NAME._udp followed by a domain
            [dns_sd a]~server ns.example:1~service _c._tcp.example | 2:8: server must be an IP address
            discovery off | discovery is off and there is no [dns_sd NAME] section
            """)
  void errorsNameThePositionAndTheProblem(String content, String expected) throws IOException {
    Path file = write("dunlinhitch.conf", content.replace("~", "\n"));
    String message =
        assertThrows(Config.ConfigException.class, () -> Product.read(file)).getMessage();
    assertTrue(message.contains(expected), message);
    assertTrue(message.startsWith(folder.toString()) && message.indexOf('\n') < 0, message);
  }

  @Test
  void legacyFileIsRejectedWithItsReplacement() throws IOException {
    write(
        "fronts.json",
        "{\"flight\": {\"listen\": \"127.0.0.1:8815\"}, \"dns_sd\": {\"server\": \"127.0.0.1:53\","
            + " \"service\": \"_c._tcp.example.\"}}");
    String message =
        assertThrows(
                Config.ConfigException.class,
                () -> Product.read(folder.resolve("dunlinhitch.conf")))
            .getMessage();
    assertTrue(
        message.contains(
            "'[flight]', 'listen 127.0.0.1:8815', 'discovery off', '[dns_sd main]', "
                + "'server 127.0.0.1:53', 'service _c._tcp.example.'"),
        message);
    assertEquals(Product.NONE, Product.read(folder.resolve("sub").resolve("dunlinhitch.conf")));
  }
}
