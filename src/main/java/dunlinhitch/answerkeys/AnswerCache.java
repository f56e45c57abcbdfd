package dunlinhitch.answerkeys;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The answers that may be reused. An answer becomes stale by its age, by a newer generation of the
 * shard's data, and by a restart or withdrawal of the store that returned it. Each complete answer
 * is also passed to the shadow comparison.
 */
final class AnswerCache {
  /** The estimated size of a key without its text, in bytes. */
  private static final long KEY_BYTES = 300;

  /** The list of uncacheable keys may take the size of the cache divided by this. */
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
   * Keys whose last answer was not shareable, with the time until which their requests bypass
   * coalescing.
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

  /** Returns true once after a store named an attribute that changes how keys are built. */
  boolean takeKeysChanged() {
    boolean changed = keysChanged;
    keysChanged = false;
    return changed;
  }

  boolean isUncacheable(long nowUs, AnswerKey key) {
    Long untilUs = uncacheableUntilUs.get(key);
    return untilUs != null && nowUs < untilUs;
  }

  /** Returns a fresh answer, or null. Evicts a stale one. */
  CachedAnswer lookup(long nowUs, AnswerKey key) {
    CachedAnswer cached = answers.get(key);
    if (cached != null && !isFresh(nowUs, key, cached)) {
      answers.remove(key);
      return null;
    }
    return cached;
  }

  /**
   * Processes an answer that a store returned to this or another broker, and caches it if
   * permitted.
   *
   * @param requestedKey the key that the waiters share, or null if there are none
   * @return true if the answer may be shared with the waiters
   */
  boolean offer(long nowUs, CachedAnswer cached, AnswerKey requestedKey) {
    StoreAnswer answer = cached.answer();
    PartQuery part = cached.fetchedFor();
    if (!answer.complete()) {
      return false; // neither reusable nor comparable
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
   * Whether the part still shares a key with the answer. The key under which it waited may be
   * outdated, because a rule lost its trust or a store declared a further varying attribute.
   */
  boolean matches(PartQuery part, CachedAnswer cached) {
    return keys.keyFor(part).equals(keys.keyFor(cached.fetchedFor()))
        && KeyFactory.equalIn(part, cached.fetchedFor(), cached.answer().varies());
  }

  /** Whether the two are equal only by rules and the part is selected at random as a trial. */
  boolean selectsTrial(PartQuery part, PartQuery other) {
    return !part.sameAs(other) && random.nextDouble() < settings.trialShare();
  }
}
