package dunlinhitch.balancer;

/** Parameters of a {@link SlowStartSimulation}: its load and the slow-start rule that applies. */
record SlowStartSite(Workload workload, Rule rule) {
  /**
   * The queries of all brokers.
   *
   * @param workUs mean work of a part by class
   * @param classShares fraction of the queries by class
   * @param spread ratio of the standard deviation of the work to its mean
   * @param callUs overhead of a call, as work
   * @param load load as a fraction of the capacity of all servers
   */
  // Test constants that are never compared or hashed.
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
   * The load that a server withstands after its start.
   *
   * @param overloadFactor multiple of its capacity at which it fails
   * @param initialShare fraction of its capacity when it starts
   * @param fallUs time for which the server withstands such an overload
   */
  record Rule(double overloadFactor, double initialShare, long fallUs) {}
}
