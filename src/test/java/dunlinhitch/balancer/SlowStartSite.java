package dunlinhitch.balancer;

/** A site for {@link SlowStartSimulation}: its load and the slow-start rule it must keep. */
record SlowStartSite(Workload workload, Rule rule) {
  /**
   * The queries of all brokers.
   *
   * @param workUs mean work of a part by class
   * @param classShares share of the queries by class
   * @param spread standard deviation of the work over its mean
   * @param callUs work of a call
   * @param load share of the capacity of all servers
   */
  // Constants of tests, never compared or hashed.
  @SuppressWarnings("ArrayRecordComponent")
  record Workload(double[] workUs, double[] classShares, double spread, long callUs, double load) {
    /** Mean work of a part over all classes. */
    double meanWorkUs() {
      double meanUs = 0;
      for (int i = 0; i < workUs.length; i++) {
        meanUs += classShares[i] * workUs[i];
      }
      return meanUs;
    }
  }

  /**
   * What a server that has started bears.
   *
   * @param overloadFactor multiple of its capacity at which it fails
   * @param initialShare share of its capacity when it starts
   * @param fallUs time for which it must be overloaded to fail
   */
  record Rule(double overloadFactor, double initialShare, long fallUs) {}
}
