package dunlinhitch.config;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;

/**
 * Typed access to the fields of a JSON object, with defaults for absent and null fields. Values of
 * an unexpected type raise an unchecked exception of the JSON library.
 */
final class JsonFields {
  /** An integer is rejected if its absolute value is equal to or greater than this bound. */
  private static final double INTEGER_BOUND = 1e15;

  private JsonFields() {}

  private static JsonValue presentValue(JsonObject object, String key) {
    JsonValue value = object.get(key);
    return value == null || value.isNull() ? null : value;
  }

  static JsonObject object(JsonObject parent, String key) {
    JsonValue value = presentValue(parent, key);
    return value == null ? new JsonObject() : value.asObject();
  }

  static JsonArray array(JsonObject parent, String key) {
    JsonValue value = presentValue(parent, key);
    return value == null ? new JsonArray() : value.asArray();
  }

  static String string(JsonObject parent, String key, String defaultValue) {
    JsonValue value = presentValue(parent, key);
    return value == null ? defaultValue : value.asString();
  }

  static boolean flag(JsonObject parent, String key, boolean defaultValue) {
    JsonValue value = presentValue(parent, key);
    return value == null ? defaultValue : value.asBoolean();
  }

  static double decimal(JsonObject parent, String key, double defaultValue) {
    JsonValue value = presentValue(parent, key);
    return value == null ? defaultValue : value.asDouble();
  }

  /** Returns an element of an array of numbers, or the default if the array is shorter. */
  static double decimalAt(JsonObject parent, String key, int index, double defaultValue) {
    JsonArray values = array(parent, key);
    return index < values.size() ? values.get(index).asDouble() : defaultValue;
  }

  /** Returns a 64-bit integer; a fraction is truncated. */
  static long longInteger(JsonObject parent, String key, long defaultValue) {
    JsonValue value = presentValue(parent, key);
    return value == null ? defaultValue : (long) bounded(key, value);
  }

  /** Returns a 32-bit integer; a fraction is truncated, and the value is clamped to the range. */
  static int integer(JsonObject parent, String key, int defaultValue) {
    JsonValue value = presentValue(parent, key);
    return value == null ? defaultValue : (int) bounded(key, value);
  }

  private static double bounded(String key, JsonValue value) {
    double number = value.asDouble();
    if (!(Math.abs(number) < INTEGER_BOUND)) {
      throw new IllegalArgumentException(key + " is out of range: " + value);
    }
    return number;
  }
}
