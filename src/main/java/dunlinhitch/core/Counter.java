package dunlinhitch.core;

/** What a broker counts since its start. Operators read the labels, which stay as they are. */
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
  /** Queries given up, with no promise about their effect. */
  QUERIES_FAILED("failed"),
  /** Queries whose deadline was exceeded. */
  DEADLINES_EXCEEDED("out_of_time"),
  /** Queries ended by the load balancer because their time was over. */
  GIVEN_UP_TIME_OVER("given_up_time_over"),
  /** Queries ended because too few parts were predicted in time. */
  GIVEN_UP_OVERLOAD("given_up_overload"),
  /** Queries ended because this broker's event loop was too late. */
  GIVEN_UP_EVENT_LOOP_LATE("given_up_event_loop_late"),
  /** Queries ended because nothing of them could be sent for too long. */
  GIVEN_UP_UNSENT("given_up_unsent"),
  /** Queries ended because the parts that might still arrive could not make an answer. */
  GIVEN_UP_UNATTAINABLE("given_up_unattainable"),
  /** Queries ended because they seemed to bring down the endpoints they ran on. */
  GIVEN_UP_SUSPECT("given_up_suspect"),
  /** Queries whose client disconnected before the response. */
  CLIENTS_DISCONNECTED("client_left"),
  /** Queries that went on to a second step. */
  SECOND_STEPS("second_steps"),
  /** Values ahead of a second step whose score was no number. */
  SCORES_INVALID("bad_scores"),
  /** Queries of a tenant that the settings do not name. */
  TENANTS_UNKNOWN("tenants_unknown"),
  /** Parts of admitted queries. */
  PARTS_ADMITTED("parts_taken"),
  /** Queries that were planned in two phases. */
  QUERIES_IN_TWO_PHASES("queries_in_two_phases"),
  /** Queries of a class with two phases that were planned in one. */
  QUERIES_IN_ONE_PHASE("queries_in_one_phase"),
  /** First passes that ended before all parts had answered. */
  FIRST_PASSES_LATE("first_passes_late"),
  /** Parts that needed no full pass. */
  BLOCKS_PRUNED("blocks_pruned"),
  /** Audits of a pruned part that found nothing. */
  AUDITS_CONFIRMED("audits_good"),
  /** Audits of a pruned part that found a record. */
  AUDITS_REFUTED("audits_bad"),
  /** Requests sent to endpoints, each with one attempt or more. */
  REQUESTS_SENT("calls_sent"),
  /** Attempts handed to an edge. */
  ATTEMPTS_SENT("attempts_sent"),
  /** Attempts written to an endpoint's connection. */
  ATTEMPTS_WRITTEN("attempts_written"),
  /** Attempts that ended with a value. */
  ATTEMPTS_SERVED("attempts_served"),
  /** Attempts that an endpoint failed. */
  ATTEMPTS_FAILED("attempts_error"),
  /** Attempts that an endpoint rejected for lack of capacity. */
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
  /** Attempts given up for an open part, of which the endpoint may not know yet. */
  ATTEMPTS_UNCONFIRMED("attempts_unconfirmed"),
  /** Unconfirmed attempts that their endpoint was found not to have any more. */
  ATTEMPTS_RELEASED("attempts_released"),
  /** Attempts that were blocked or withdrawn before they were sent. */
  SENDS_BLOCKED("sends_barred"),
  /** Responses of the load balancer that were blocked as not allowed. */
  RESPONSES_BLOCKED("answers_barred"),
  /** Health checks sent to endpoints. */
  HEALTH_CHECKS_SENT("probes_sent"),
  /** Updates received from any source of endpoints. */
  ENDPOINT_UPDATES("roster_news"),
  /** Endpoint entries that could not be read. */
  ENDPOINT_ENTRIES_INVALID("bad_roster_entries"),
  /** Times that a source of endpoints stopped responding. */
  SOURCES_UNAVAILABLE("roster_lost"),
  /** Times that the endpoint list was reported as possibly out of date. */
  ENDPOINT_LIST_STALE("roster_in_doubt"),
  /** Endpoints announced and not yet used. */
  ENDPOINTS_HELD_BACK("members_held_back"),
  /** Endpoints used although their claims have expired. */
  ENDPOINTS_STALE("members_stale"),
  /** Endpoints on which sources disagree. */
  ENDPOINTS_DISPUTED("members_disputed"),
  /** Endpoints used in the place of others. */
  ENDPOINTS_STANDING_IN("members_standing_in"),
  /** Endpoints withdrawn by their source. */
  ENDPOINTS_WITHDRAWN("members_withdrawn"),
  /** Endpoints that have left the list. */
  ENDPOINTS_REMOVED("members_gone"),
  /** Claims that were rejected. */
  CLAIMS_REJECTED("members_refused"),
  /** Writes of the last known endpoint list to disk that failed. */
  STATE_WRITES_FAILED("state_writes_failed"),
  /** DNS messages that answer no open request. */
  DNS_STRAYS("dns_strays"),
  /** DNS answers from a server without authority. */
  DNS_NOT_AUTHORITATIVE("dns_not_authoritative"),
  /** DNS push sessions that ended. */
  PUSH_ENDED("push_ended"),
  /** Changes of the address of discovery. */
  DISCOVERY_MOVED("discovery_moved"),
  /** Configurations that were loaded again. */
  CONFIGURATIONS_LOADED("configurations_taken"),
  /** Configurations that were rejected as invalid. */
  BAD_CONFIGURATIONS("bad_configurations"),
  /** Requests of clients that were rejected as malformed. */
  BAD_REQUESTS("bad_requests"),
  /** Calls of operators that were rejected as malformed. */
  BAD_ADMIN_CALLS("bad_admin_calls"),
  /** Client connections closed because the client read or wrote too slowly. */
  CLIENTS_SLOW("clients_slow"),
  /** Client connections closed as idle. */
  CLIENTS_IDLE("clients_idle"),
  /** Client connections evicted in favour of others. */
  CLIENTS_EVICTED("clients_crowded_out"),
  /** Client connections reset. */
  CLIENTS_RESET("clients_reset"),
  /** Messages of endpoints that were malformed. */
  BAD_FRAMES("bad_frames"),
  /** Connections opened to endpoints. */
  CONNECTIONS_OPENED("connections_opened"),
  /** Liveness checks of connections to endpoints. */
  CONNECTIONS_CHECKED("connections_checked"),
  /** Connections closed because a liveness check had no response. */
  CONNECTIONS_SILENT("connections_silent"),
  /** Changes of this broker's subset of endpoints. */
  SUBSETS_CHANGED("subsets_changed"),
  /** Health checks that were this broker's duty. */
  HEALTH_CHECKS_OWN("probes_in_turn"),
  /** Health checks left to another broker. */
  HEALTH_CHECKS_DELEGATED("probes_left_to_others"),
  /** Gossip messages received. */
  GOSSIP_RECEIVED("peer_words_heard"),
  /** Gossip messages that were malformed. */
  GOSSIP_UNREADABLE("peer_words_unread"),
  /** Gossip messages that could not be sent. */
  GOSSIP_UNSENT("peer_words_unsent"),
  /** Times that a broker's versions were found out of date. */
  VERSION_SKEWS_DETECTED("stragglers_seen"),
  /** Times that a broker was fenced for its versions. */
  BROKERS_FENCED("stragglers_shut_out"),
  /** Gossip messages that were truncated. */
  GOSSIP_TRUNCATED("peer_words_cut"),
  /** Gossip messages of a later protocol version. */
  GOSSIP_OTHER_VERSION("peer_words_later"),
  /** Gossip messages received twice. */
  GOSSIP_DUPLICATE("peer_words_double"),
  /** Gossip messages from an address outside of the configured reach. */
  GOSSIP_FOREIGN("peer_words_foreign"),
  /** Gossip messages above the size limit. */
  GOSSIP_OVERSIZED("peer_words_huge"),
  /** Updates left out of a gossip message for lack of space. */
  GOSSIP_UPDATES_OMITTED("peer_news_left_out"),
  /** Unexpected exceptions; the broker goes on. */
  FAULTS("faults");

  private final String label;

  Counter(String label) {
    this.label = label;
  }

  /** The name that operators read. */
  public String label() {
    return label;
  }
}
