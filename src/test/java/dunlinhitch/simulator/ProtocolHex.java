package dunlinhitch.simulator;

import java.util.HexFormat;

/** Parses byte examples of the simulator's protocol description, written as hexadecimal digits. */
final class ProtocolHex {
  private ProtocolHex() {}

  /** Parses hexadecimal digits; white space between them is ignored. */
  static byte[] parse(String digits) {
    return HexFormat.of().parseHex(digits.replaceAll("\\s", ""));
  }
}
