package dunlinhitch.scoring.host;

import dunlinhitch.scoring.EndpointSnapshot;
import dunlinhitch.scoring.FactorTable;
import java.util.List;

/**
 * Immutable values exchanged between the event loop and the supervisor thread. Each write replaces
 * the previous value.
 */
final class SharedState {
  private volatile List<EndpointSnapshot> endpoints = List.of();
  private volatile FactorTable factors = FactorTable.NONE;
  private volatile PendingGossip pendingGossip = PendingGossip.NONE;
  private volatile HostStatistics statistics = HostStatistics.NONE;

  List<EndpointSnapshot> endpoints() {
    return endpoints;
  }

  void setEndpoints(List<EndpointSnapshot> endpoints) {
    this.endpoints = endpoints;
  }

  FactorTable factors() {
    return factors;
  }

  void setFactors(FactorTable factors) {
    this.factors = factors;
  }

  PendingGossip pendingGossip() {
    return pendingGossip;
  }

  void setPendingGossip(PendingGossip pendingGossip) {
    this.pendingGossip = pendingGossip;
  }

  HostStatistics statistics() {
    return statistics;
  }

  void setStatistics(HostStatistics statistics) {
    this.statistics = statistics;
  }
}
