package dunlinhitch.balancer;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.balancer.settings.ShardLayout;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Range checks of the settings. */
class SettingsValidationTest {
  @Test
  void invalidSettingsAreRejectedByFieldName() {
    Exception exception =
        assertThrows(IllegalArgumentException.class, () -> new ShardLayout(0, 1, 1, 1, 0));
    assertTrue(exception.getMessage().contains("layout.cells"));
    SettingsBuilder settings = new SettingsBuilder();
    settings.need = 1.5;
    exception = assertThrows(IllegalArgumentException.class, settings::build);
    assertTrue(exception.getMessage().contains("classes.need"));
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new Settings(
                1, List.of(), 0, 5, List.of(), List.of(), 1, null, null, null, null, false, false,
                false, List.of(), false));
  }
}
