package dunlinhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.dns.FakeNameServer;
import dunlinhitch.experiments.dns.Zone;
import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The records command with a DNS server. */
class RecordsCommandTest {
  private static String[] command(FakeNameServer responder, String service, String timeoutSeconds) {
    return new String[] {
      "records",
      "--server",
      "127.0.0.1:" + responder.port(),
      "--service",
      service,
      "--within",
      timeoutSeconds
    };
  }

  /**
   * The command lists the endpoints of usable records. For contradictory records, for incomplete
   * records and for a server that does not answer, it prints the reason.
   */
  @Test
  void showsEndpointsAndWhyRecordsAreUnusable() throws Exception {
    Vertx vertx = Vertx.vertx();
    Zone zone = new Zone("example.org.");
    String service = "_calendar._tcp.example.org.";
    PrintStream before = System.out;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (FakeNameServer responder = new FakeNameServer(vertx, zone)) {
      String[] command = command(responder, service, "5");
      zone.change(
          List.of(),
          Zone.store(service, "East", "127.0.0.1", 7001, 60, "id=s-1", "cell=0", "zone=a"));
      System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
      assertEquals(0, Main.commandLine().execute(command));
      assertTrue(
          out.toString(StandardCharsets.UTF_8).contains("127.0.0.1:7001")
              && out.toString(StandardCharsets.UTF_8).contains("live"),
          out.toString(StandardCharsets.UTF_8));
      zone.change(
          List.of(),
          Zone.store(service, "West", "127.0.0.1", 7002, 60, "id=s-1", "cell=0", "zone=a"));
      zone.change(
          List.of(), Zone.store(service, "South", "127.0.0.1", 7003, 60, "cell=0", "zone=a"));
      out.reset();
      assertEquals(1, Main.commandLine().execute(command));
      assertTrue(
          out.toString(StandardCharsets.UTF_8).contains("two claims name different addresses"),
          out.toString(StandardCharsets.UTF_8));
      assertTrue(
          out.toString(StandardCharsets.UTF_8)
              .contains("instance \"South\" is unusable: the TXT record lacks the attribute id"),
          out.toString(StandardCharsets.UTF_8));
      responder.script = question -> FakeNameServer.Fault.LOST;
      assertTrue(
          MainTest.errorOutput(command(responder, service, "1"))
              .contains("no answer from 127.0.0.1:" + responder.port()));
    } finally {
      System.setOut(before);
      vertx.close();
    }
  }
}
