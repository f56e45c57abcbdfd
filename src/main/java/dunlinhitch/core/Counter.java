package dunlinhitch.core;

/**
 * The counters of a broker, counted from its start. The labels are part of the output for operators
 * and must not change.
 */
public enum Counter {
  /** Requests read by a frontend, admitted or not. */
  QUERIES_RECEIVED("queries_taken"),
  /** Queries answered with a complete response. */
  RESPONSES_COMPLETE("answered_whole"),
  /** Queries answered with a partial response. */
  RESPONSES_PARTIAL("answered_partly"),
  /** Admitted queries that were rejected later. */
  QUERIES_REJECTED("refused"),
  /** Queries rejected on arrival, without admission. */
  QUERIES_NOT_ADMITTED("turned_away"),
  /** Queries rejected because an earlier one with the same id is open or may have been executed. */
  QUERIES_REPEATED("queries_repeated"),
  /** Queries that failed; some of their parts may have been executed. */
  QUERIES_FAILED("failed"),
  /** Queries whose deadline was exceeded. */
  DEADLINES_EXCEEDED("out_of_time"),
  /** Queries ended by the load balancer because their time had run out. */
  GIVEN_UP_TIME_OVER("given_up_time_over"),
  /** Queries ended because too few parts were predicted to complete in time. */
  GIVEN_UP_OVERLOAD("given_up_overload"),
  /** Queries ended because this broker's event loop was running late. */
  GIVEN_UP_EVENT_LOOP_LATE("given_up_event_loop_late"),
  /** Queries ended because none of their parts could be sent within the permitted time. */
  GIVEN_UP_UNSENT("given_up_unsent"),
  /** Queries ended because the outstanding parts could no longer complete an acceptable answer. */
  GIVEN_UP_UNATTAINABLE("given_up_unattainable"),
  /** Queries ended because they appeared to crash the endpoints that executed them. */
  GIVEN_UP_SUSPECT("given_up_suspect"),
  /** Queries whose deadline was exceeded without a response from the reducer. */
  RESPONSES_OVERDUE("answers_overdue"),
  /**
   * Queries whose client disconnected before it received the response, or before they were read.
   */
  CLIENTS_DISCONNECTED("client_left"),
  /** Queries that proceeded to a second step. */
  SECOND_STEPS("second_steps"),
  /** First-step values without a numeric score, in queries with a second step. */
  SCORES_INVALID("bad_scores"),
  /** Queries of a tenant that is missing from the settings. */
  TENANTS_UNKNOWN("tenants_unknown"),
  /** Parts of admitted queries. */
  PARTS_ADMITTED("parts_taken"),
  /** Queries planned for two-phase execution. */
  QUERIES_IN_TWO_PHASES("queries_in_two_phases"),
  /** Queries of a two-phase class that were planned for a single phase. */
  QUERIES_IN_ONE_PHASE("queries_in_one_phase"),
  /** First passes that ended before all parts were answered. */
  FIRST_PASSES_LATE("first_passes_late"),
  /** Parts that were pruned after their first pass, so that no full pass was needed. */
  BLOCKS_PRUNED("blocks_pruned"),
  /** Audits of a prunable part that confirmed that it has no records. */
  AUDITS_CONFIRMED("audits_good"),
  /** Audits of a prunable part that found a record. */
  AUDITS_REFUTED("audits_bad"),
  /** Requests sent to endpoints, each carrying one or more attempts. */
  REQUESTS_SENT("calls_sent"),
  /** Attempts handed to an edge for sending. */
  ATTEMPTS_SENT("attempts_sent"),
  /** Attempts written to an endpoint's connection. */
  ATTEMPTS_WRITTEN("attempts_written"),
  /** Attempts that ended with a value. */
  ATTEMPTS_SERVED("attempts_served"),
  /** Attempts answered with an error by the endpoint. */
  ATTEMPTS_FAILED("attempts_error"),
  /** Attempts rejected by an endpoint for lack of capacity. */
  ATTEMPTS_REJECTED("attempts_full"),
  /** Attempts without a result at their time limit. */
  ATTEMPTS_TIMED_OUT("attempts_timed_out"),
  /** Attempts for which no connection could be opened. */
  ATTEMPTS_NOT_CONNECTED("attempts_not_connected"),
  /** Attempts whose connection was lost. */
  ATTEMPTS_RESET("attempts_reset"),
  /** Attempts that were cancelled. */
  ATTEMPTS_CANCELLED("attempts_given_up"),
  /** Retries and hedged attempts: attempts of a part beyond its first. */
  ATTEMPTS_REPEATED("attempts_repeated"),
  /** Attempts of open parts that were abandoned although their endpoint may still execute them. */
  ATTEMPTS_UNCONFIRMED("attempts_unconfirmed"),
  /** Unconfirmed attempts that were released: their endpoint will no longer execute them. */
  ATTEMPTS_RELEASED("attempts_released"),
  /** Attempts that were blocked or withdrawn before they were sent. */
  SENDS_BLOCKED("sends_barred"),
  /** Responses of the load balancer that were blocked because they would violate a rule. */
  RESPONSES_BLOCKED("answers_barred"),
  /** Health checks sent to endpoints. */
  HEALTH_CHECKS_SENT("probes_sent"),
  /** Updates received from discovery or another source of endpoints. */
  ENDPOINT_UPDATES("roster_news"),
  /** Endpoint entries that could not be parsed. */
  ENDPOINT_ENTRIES_INVALID("bad_roster_entries"),
  /** Number of times that a source of endpoints stopped responding. */
  SOURCES_UNAVAILABLE("roster_lost"),
  /** Number of times that the endpoint list was reported as possibly out of date. */
  ENDPOINT_LIST_STALE("roster_in_doubt"),
  /** Endpoints that are announced but not used yet. */
  ENDPOINTS_HELD_BACK("members_held_back"),
  /** Endpoints that stay in use although their claims have expired. */
  ENDPOINTS_STALE("members_stale"),
  /** Endpoints about which sources disagree. */
  ENDPOINTS_DISPUTED("members_disputed"),
  /** Disputed or announced endpoints that are used because their shards have no other endpoint. */
  ENDPOINTS_STANDING_IN("members_standing_in"),
  /** Endpoints withdrawn by their source. */
  ENDPOINTS_WITHDRAWN("members_withdrawn"),
  /** Endpoints removed from the list. */
  ENDPOINTS_REMOVED("members_gone"),
  /** Claims that were rejected. */
  CLAIMS_REJECTED("members_refused"),
  /** Failed writes of the last known endpoint list to disk. */
  STATE_WRITES_FAILED("state_writes_failed"),
  /** DNS messages that match no open request. */
  DNS_STRAYS("dns_strays"),
  /** DNS answers from a server that is not authoritative. */
  DNS_NOT_AUTHORITATIVE("dns_not_authoritative"),
  /** DNS answers that are truncated, also over TCP. */
  DNS_TRUNCATED("dns_truncated"),
  /** DNS record sets that were in doubt and have been compared, or confirmed by a push session. */
  DNS_SETS_COMPARED("dns_sets_compared"),
  /** DNS records that were found new or gone while their set was in doubt. */
  DNS_CHANGES_MISSED("dns_changes_missed"),
  /** DNS push sessions that ended. */
  PUSH_ENDED("push_ended"),
  /** Changes of the discovery address. */
  DISCOVERY_MOVED("discovery_moved"),
  /** Successful reloads of the configuration. */
  CONFIGURATIONS_LOADED("configurations_taken"),
  /** Configurations rejected as invalid. */
  BAD_CONFIGURATIONS("bad_configurations"),
  /** Client requests rejected as malformed. */
  BAD_REQUESTS("bad_requests"),
  /** Operator calls rejected as malformed. */
  BAD_ADMIN_CALLS("bad_admin_calls"),
  /** Client connections closed because the client read or wrote too slowly. */
  CLIENTS_SLOW("clients_slow"),
  /** Client connections closed because they were idle. */
  CLIENTS_IDLE("clients_idle"),
  /** Client connections evicted to free file descriptors. */
  CLIENTS_EVICTED("clients_crowded_out"),
  /** Queries refused because there was no memory for them beside those of other clients. */
  QUERIES_WITHOUT_MEMORY("queries_without_memory"),
  /** Client connections closed because too much was sent behind a query that was in flight. */
  CLIENTS_FLOODED("clients_flooded"),
  /** Client connections that were reset. */
  CLIENTS_RESET("clients_reset"),
  /** Malformed messages received from endpoints. */
  BAD_FRAMES("bad_frames"),
  /** Connections opened to endpoints. */
  CONNECTIONS_OPENED("connections_opened"),
  /** Liveness checks of connections to endpoints. */
  CONNECTIONS_CHECKED("connections_checked"),
  /** Connections closed because a liveness check was not answered. */
  CONNECTIONS_SILENT("connections_silent"),
  /** Changes of this broker's subset of endpoints. */
  SUBSETS_CHANGED("subsets_changed"),
  /** Health checks for which this broker was responsible. */
  HEALTH_CHECKS_OWN("probes_in_turn"),
  /** Health checks left to another broker. */
  HEALTH_CHECKS_DELEGATED("probes_left_to_others"),
  /** Gossip messages received. */
  GOSSIP_RECEIVED("peer_words_heard"),
  /** Malformed gossip messages. */
  GOSSIP_UNREADABLE("peer_words_unread"),
  /** Gossip messages that could not be sent. */
  GOSSIP_UNSENT("peer_words_unsent"),
  /** Number of times that a broker's settings or endpoint list were found to be out of date. */
  VERSION_SKEWS_DETECTED("stragglers_seen"),
  /**
   * Number of times that a broker was fenced because its settings or endpoint list were out of
   * date.
   */
  BROKERS_FENCED("stragglers_shut_out"),
  /** Gossip messages that were truncated. */
  GOSSIP_TRUNCATED("peer_words_cut"),
  /** Gossip messages of a later protocol version. */
  GOSSIP_OTHER_VERSION("peer_words_later"),
  /** Gossip messages received twice. */
  GOSSIP_DUPLICATE("peer_words_double"),
  /** Gossip messages from an address that the configuration does not permit. */
  GOSSIP_FOREIGN("peer_words_foreign"),
  /** Gossip messages that exceeded the size limit. */
  GOSSIP_OVERSIZED("peer_words_huge"),
  /** Updates omitted from a gossip message for lack of space. */
  GOSSIP_UPDATES_OMITTED("peer_news_left_out"),
  /** Unexpected exceptions that were caught and logged. */
  FAULTS("faults");

  private final String label;

  Counter(String label) {
    this.label = label;
  }

  /** The name under which the counter appears in output for operators. */
  public String label() {
    return label;
  }
}
