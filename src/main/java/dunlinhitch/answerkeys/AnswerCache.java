package dunlinhitch.answerkeys;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The answers that may be reused, with what makes them stale: their age, a newer generation of the
 * shard's data, and a restart or withdrawal of the store that gave them. Each complete answer also
 * goes to the shadow comparison.
 */
final class AnswerCache {
  /** An estimate of the bytes of a key beside its text. */
  private static final long KEY_BYTES = 300;

  /** The share of the cache that the list of uncacheable keys may take beside it. */
  private static final int UNCACHEABLE_DIVISOR = 16;

  private static final long UNLISTED = -1L;

  private final RuleSet rules;
  private final AnswerKeySettings settings;
  private final RandomGenerator random;
  private final KeyFactory keys;
  private final ShadowComparison comparison;
  private final ActionBuffer output;
  private final Cache<AnswerKey, CachedAnswer> answers;

  /** Keys whose last answer was not shareable, with the moment until which nobody waits for one. */
  private final Cache<AnswerKey, Long> uncacheableUntilUs;

  /** The start of each listed store, in ms. */
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

  /** True once after a store named an attribute that changes how keys are built. */
  boolean takeKeysChanged() {
    boolean changed = keysChanged;
    keysChanged = false;
    return changed;
  }

  boolean isUncacheable(long nowUs, AnswerKey key) {
    Long untilUs = uncacheableUntilUs.get(key);
    return untilUs != null && nowUs < untilUs;
  }

  /** A fresh answer, or null. A stale one is evicted. */
  CachedAnswer lookup(long nowUs, AnswerKey key) {
    CachedAnswer cached = answers.get(key);
    if (cached != null && !isFresh(nowUs, key, cached)) {
      answers.remove(key);
      return null;
    }
    return cached;
  }

  /**
   * Learns from an answer that a store gave, here or at another broker, and caches it where it may
   * be.
   *
   * @param requestedKey the key that waiters share, or null where nobody waits
   * @return true where the answer may be shared with them
   */
  boolean offer(long nowUs, CachedAnswer cached, AnswerKey requestedKey) {
    StoreAnswer answer = cached.answer();
    PartQuery part = cached.fetchedFor();
    if (!answer.complete()) {
      return false; // nothing can be learnt from it
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
   * True where the part still shares a key with the answer: the key under which it waited may have
   * been built by rules, or before a store's declaration, that no longer apply.
   */
  boolean matches(PartQuery part, CachedAnswer cached) {
    return keys.keyFor(part).equals(keys.keyFor(cached.fetchedFor()))
        && KeyFactory.equalIn(part, cached.fetchedFor(), cached.answer().varies());
  }

  /** True where only rules make the two equal, and the random draw selects the part as a trial. */
  boolean selectsTrial(PartQuery part, PartQuery other) {
    return !part.sameAs(other) && random.nextDouble() < settings.trialShare();
  }
}
