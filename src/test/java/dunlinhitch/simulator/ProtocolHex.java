package dunlinhitch.simulator;

import java.util.HexFormat;

/** Byte examples of the simulator's protocol description, written as hexadecimal digits. */
final class ProtocolHex {
  private ProtocolHex() {}

  /** Parses hexadecimal digits; blanks and line ends between them are ignored. */
  static byte[] parse(String digits) {
    return HexFormat.of().parseHex(digits.replaceAll("\\s", ""));
  }
}
