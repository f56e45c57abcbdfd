package dunlinhitch.balancer.settings;

/** Range checks of settings; each message names the invalid field. */
final class SettingsValidation {
  private SettingsValidation() {}

  static void positive(String field, double value) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(field + " must be above 0: " + value);
    }
  }

  static void atLeastZero(String field, double value) {
    if (!(value >= 0) || Double.isInfinite(value)) {
      throw new IllegalArgumentException(field + " must be 0 or more: " + value);
    }
  }

  static void ratio(String field, double value) {
    if (!(value >= 0 && value <= 1)) {
      throw new IllegalArgumentException(field + " must be from 0 to 1: " + value);
    }
  }
}
