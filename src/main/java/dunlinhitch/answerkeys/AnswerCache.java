package dunlinhitch.answerkeys;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The cache of answers that may be reused. An answer becomes stale when it reaches the maximum age,
 * when the shard's data has a newer generation, and when the store that returned it restarts or is
 * withdrawn. Complete answers that may be cached are also passed to the shadow comparison.
 */
final class AnswerCache {
  /** The estimated size of a key without its text, in bytes. */
  private static final long KEY_BYTES = 300;

  /**
   * The maximum size of the list of uncacheable keys is the size of the cache divided by this
   * number.
   */
  private static final int UNCACHEABLE_DIVISOR = 16;

  private static final long UNLISTED = -1L;

  private final RuleSet rules;
  private final AnswerKeySettings settings;
  private final RandomGenerator random;
  private final KeyFactory keys;
  private final ShadowComparison comparison;
  private final ActionBuffer output;
  private final Cache<AnswerKey, CachedAnswer> answers;

  /**
   * The keys whose last answer was not shareable. The value is the time until which requests for
   * the key bypass coalescing.
   */
  private final Cache<AnswerKey, Long> uncacheableUntilUs;

  /** The start time of each listed store, in milliseconds. */
  private final Map<String, Long> storeStarts = new HashMap<>();

  private boolean keysChanged;

  AnswerCache(
      RuleSet rules,
      AnswerKeySettings settings,
      RandomGenerator random,
      KeyFactory keys,
      ShadowComparison comparison,
      ActionBuffer output,
      Cache<AnswerKey, CachedAnswer> answers) {
    this.rules = rules;
    this.settings = settings;
    this.random = random;
    this.keys = keys;
    this.comparison = comparison;
    this.output = output;
    this.answers = answers;
    uncacheableUntilUs = new LruCache<>(settings.limits().cacheBytes() / UNCACHEABLE_DIVISOR);
  }

  void addStore(String store, long startedMs) {
    storeStarts.put(store, startedMs);
  }

  void removeStore(String store) {
    storeStarts.remove(store);
  }

  /**
   * Returns whether a store has declared a further varying attribute since the last call. Such a
   * declaration changes the keys.
   */
  boolean takeKeysChanged() {
    boolean changed = keysChanged;
    keysChanged = false;
    return changed;
  }

  boolean isUncacheable(long nowUs, AnswerKey key) {
    Long untilUs = uncacheableUntilUs.get(key);
    return untilUs != null && nowUs < untilUs;
  }

  /** Returns the cached answer if it is fresh, otherwise null. Evicts a stale answer. */
  CachedAnswer lookup(long nowUs, AnswerKey key) {
    CachedAnswer cached = answers.get(key);
    if (cached != null && !isFresh(nowUs, key, cached)) {
      answers.remove(key);
      return null;
    }
    return cached;
  }

  /**
   * Processes an answer that a store returned to this or another broker, and caches it if it may be
   * reused.
   *
   * @param requestedKey the key of the fetch whose waiters need the answer, or null if there are no
   *     waiters
   * @return true if the answer may be shared with the waiters
   */
  boolean offer(long nowUs, CachedAnswer cached, AnswerKey requestedKey) {
    StoreAnswer answer = cached.answer();
    PartQuery part = cached.fetchedFor();
    if (!answer.complete()) {
      // An incomplete answer can neither be reused nor be compared with others.
      return false;
    }
    keys.recordGeneration(part.shard(), answer.generation());
    if (!answer.cacheable() || !keys.declaresAll(part.queryClass(), answer.varies())) {
      markUncacheable(nowUs, part, requestedKey == null ? keys.keyFor(part) : requestedKey);
      return false;
    }
    if (keys.recordVaryingAttributes(part.queryClass(), answer.varies())) {
      keysChanged = true;
    }
    comparison.record(nowUs, cached);
    AnswerKey key = keys.keyFor(part);
    boolean fresh = isFresh(nowUs, key, cached);
    if (fresh) {
      answers.put(key, cached, cached.bytes());
    }
    return fresh
        && (requestedKey == null
            || requestedKey.rules().equals(key.rules())
            || !answer.varies().isEmpty());
  }

  private void markUncacheable(long nowUs, PartQuery part, AnswerKey key) {
    output.count(AnswerKeyCounter.NOT_SHAREABLE);
    uncacheableUntilUs.put(
        key,
        nowUs + rules.classPolicy(part.queryClass()).maxAgeUs(),
        KEY_BYTES + 2L * part.text().length());
  }

  private boolean isFresh(long nowUs, AnswerKey key, CachedAnswer cached) {
    StoreAnswer answer = cached.answer();
    return nowUs < cached.requestedUs() + rules.classPolicy(key.queryClass()).maxAgeUs()
        && (answer.generation() == 0 || answer.generation() >= key.generation())
        && storeStarts.getOrDefault(answer.store(), UNLISTED) == answer.storeStartedMs();
  }

  /**
   * Whether the part still has the same key as the answer. The key under which the part waited may
   * be outdated, because a rule is no longer trusted or a store has declared a further varying
   * attribute.
   */
  boolean matches(PartQuery part, CachedAnswer cached) {
    return keys.keyFor(part).equals(keys.keyFor(cached.fetchedFor()))
        && KeyFactory.equalIn(part, cached.fetchedFor(), cached.answer().varies());
  }

  /**
   * Randomly decides whether the part is a trial. A trial is sent to a store although the answer to
   * the other part could be reused. A part that has the same key as the other part even without
   * rules is never a trial.
   */
  boolean selectsTrial(PartQuery part, PartQuery other) {
    return !part.sameAs(other) && random.nextDouble() < settings.trialShare();
  }
}
