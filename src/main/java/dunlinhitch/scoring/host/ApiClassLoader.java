package dunlinhitch.scoring.host;

import dunlinhitch.scoring.api.Scorer;

/**
 * Parent of the plug-ins' class loaders. It exposes {@code java.*} and the scorer interface only;
 * the interface classes are loaded by the broker's class loader, so that both sides share them.
 */
final class ApiClassLoader extends ClassLoader {
  private static final String API_PREFIX = Scorer.class.getPackageName() + ".";
  static final ApiClassLoader INSTANCE = new ApiClassLoader();

  private ApiClassLoader() {
    super("scoring-api", ClassLoader.getPlatformClassLoader());
  }

  @Override
  protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
    if (name.startsWith(API_PREFIX)) {
      return Scorer.class.getClassLoader().loadClass(name);
    }
    if (name.startsWith("java.")) {
      return super.loadClass(name, resolve);
    }
    throw new ClassNotFoundException(
        name + ": a scorer can only load classes from its own jar, " + API_PREFIX + "* and java.*");
  }
}
