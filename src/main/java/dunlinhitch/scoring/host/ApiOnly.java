package dunlinhitch.scoring.host;

import dunlinhitch.scoring.api.Scorer;

/**
 * What a plug-in may see: {@code java.*} and the interface, which is the program's own, so that
 * both mean the same classes.
 */
final class ApiOnly extends ClassLoader {
  private static final String API = Scorer.class.getPackageName() + ".";
  static final ApiOnly INSTANCE = new ApiOnly();

  private ApiOnly() {
    super("scoring-api", ClassLoader.getPlatformClassLoader());
  }

  @Override
  protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
    if (name.startsWith(API)) {
      return Scorer.class.getClassLoader().loadClass(name);
    }
    if (name.startsWith("java.")) {
      return super.loadClass(name, resolve);
    }
    throw new ClassNotFoundException(
        name + ": a scorer sees its own jar, " + API + "* and java.* only");
  }
}
