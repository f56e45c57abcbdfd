package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.TimingWheel;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.random.RandomGenerator;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.DNSInput;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.GenericEDNSOption;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;

/**
 * When the broker's own records are registered, refreshed and withdrawn, and by which update (RFC
 * 2136, with the lease of RFC 9664). No I/O and no clock; times are microseconds.
 */
final class RegistrationStateMachine {
  private static final int LEASE_OPTION = 2;
  private static final double REFRESH_AT = 0.8;
  private static final long FIRST_PAUSE_US = 500_000;
  private static final long LONGEST_PAUSE_US = 60_000_000;
  private static final long LEAST_LEASE_S = 5;

  /** What is announced; {@code host} is an IP address, {@code target} the name that gets it. */
  record Content(
      Name zone,
      Name service,
      Name instance,
      Name target,
      String host,
      int port,
      List<String> txt,
      long ttlS,
      long leaseS) {}

  /** An update that is due, and whether it takes the records back. */
  record Step(Update update, boolean withdrawal) {}

  private enum Phase {
    OFF,
    WANTED,
    ASKED,
    HELD,
    LEAVING,
    LEFT
  }

  private final Content content;
  private final RandomGenerator random;
  private Phase phase = Phase.OFF;
  private long dueUs = TimingWheel.NEVER;
  private long pauseUs = FIRST_PAUSE_US;
  private long askedUs;

  RegistrationStateMachine(Content content, RandomGenerator random) {
    this.content = content;
    this.random = random;
  }

  /** The broker serves: it is to be found from now on. */
  void ready(long now) {
    if (phase == Phase.OFF) {
      phase = Phase.WANTED;
      dueUs = now;
    }
  }

  /** The broker is to end: its records go first. What is under way is overtaken. */
  void ending(long now) {
    boolean told = phase != Phase.OFF && phase != Phase.LEFT;
    phase = told ? Phase.LEAVING : Phase.LEFT;
    pauseUs = FIRST_PAUSE_US;
    dueUs = told ? now : TimingWheel.NEVER;
  }

  long nextUs() {
    return dueUs;
  }

  boolean isHeld() {
    return phase == Phase.HELD;
  }

  boolean isLeft() {
    return phase == Phase.LEFT;
  }

  /** The update that is due now, or null. It is owed one {@link #done} or {@link #failed}. */
  Step due(long now) {
    if (now < dueUs) {
      return null;
    }
    dueUs = TimingWheel.NEVER;
    if (phase == Phase.LEAVING) {
      return new Step(withdrawal(), true);
    }
    phase = Phase.ASKED;
    askedUs = now;
    return new Step(registration(), false);
  }

  /** The server took it, for so long. */
  void done(long now, Message answer, boolean withdrawal) {
    pauseUs = FIRST_PAUSE_US;
    if (withdrawal) {
      phase = Phase.LEFT;
    } else if (phase == Phase.ASKED) {
      phase = Phase.HELD;
      dueUs =
          askedUs
              + (long) (lease(answer) * 1_000_000 * REFRESH_AT * (1 - random.nextDouble() / 10));
    }
  }

  void failed(long now, boolean withdrawal) {
    if (phase == (withdrawal ? Phase.LEAVING : Phase.ASKED)) {
      dueUs = now + (long) (pauseUs * (0.75 + random.nextDouble() / 2));
      pauseUs = Math.min(LONGEST_PAUSE_US, 2 * pauseUs);
    }
  }

  private long lease(Message answer) {
    OPTRecord opt = answer.getOPT();
    if (opt != null) {
      for (EDNSOption option : opt.getOptions(LEASE_OPTION)) {
        try {
          byte[] wire = option.toWire();
          DNSInput in = new DNSInput(wire);
          in.readU16();
          in.readU16();
          return Math.max(LEAST_LEASE_S, in.readU32());
        } catch (org.xbill.DNS.WireParseException e) {
          return content.leaseS(); // an option that is cut off grants what was asked for
        }
      }
    }
    return content.leaseS();
  }

  private Update registration() {
    Update update = new Update(content.zone());
    update.delete(content.instance(), Type.SRV);
    update.delete(content.instance(), Type.TXT);
    update.add(new PTRRecord(content.service(), DClass.IN, content.ttlS(), content.instance()));
    update.add(
        new SRVRecord(
            content.instance(), DClass.IN, content.ttlS(), 0, 0, content.port(), content.target()));
    update.add(
        new TXTRecord(
            content.instance(),
            DClass.IN,
            content.ttlS(),
            content.txt().isEmpty() ? List.of("") : content.txt()));
    try {
      InetAddress address = InetAddress.getByName(content.host());
      update.delete(content.target(), address.getAddress().length == 4 ? Type.A : Type.AAAA);
      update.add(
          address.getAddress().length == 4
              ? new ARecord(content.target(), DClass.IN, content.ttlS(), address)
              : new AAAARecord(content.target(), DClass.IN, content.ttlS(), address));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("no IP address: " + content.host(), e);
    }
    byte[] seconds = {
      (byte) (content.leaseS() >> 24),
      (byte) (content.leaseS() >> 16),
      (byte) (content.leaseS() >> 8),
      (byte) content.leaseS()
    };
    update.addRecord(
        new OPTRecord(
            Resolver.PAYLOAD, 0, 0, 0, List.of(new GenericEDNSOption(LEASE_OPTION, seconds))),
        Section.ADDITIONAL);
    return update;
  }

  private Update withdrawal() {
    Update update = new Update(content.zone());
    update.delete(new PTRRecord(content.service(), DClass.IN, 0, content.instance()));
    update.delete(content.instance());
    update.delete(content.target());
    return update;
  }
}
