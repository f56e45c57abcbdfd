package dunlinhitch.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.balancer.settings.CanonicalSettings;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.cluster.versions.SettingsDigest;
import org.junit.jupiter.api.Test;

/**
 * The canonical text and digest of settings do not change between builds, even if components are
 * renamed: brokers of different builds must agree on the digest of the same file.
 */
class CanonicalSettingsTest {
  private static final String SETTINGS =
      """
      {"ReplicasOfMe":3,"FailureDomains":["north","south"],"MyZone":1,"TickUs":1000,
       "Classes":[
        {"Name":"a","OnTimeUs":1000000,"DeadlineUs":2000000,"Idempotency":"free","Points":3},
        {"Name":"b","OnTimeUs":700000,"DeadlineUs":1500000,"Idempotency":"guarded",
         "DedupWindowUs":4000000,"Points":2.5}],
       "Domain":{"Positions":6,"InARow":2,"Shards":12,"PerCall":8},
       "Limits":{"MaxAttempts":4,"MostHeld":2000,"MayCancel":true,"MayProbe":true,
        "RetryAfter":true,"MaxRetryAfterUs":500000,"ConnectTimeoutUs":250000,
        "StreamsPerConn":32,"ConnIdleUs":15000000},
       "Rules":{"AnswerSlackUs":20000,"ColdFrom":0.15,"WarmAfterUs":17000000,
        "OverloadFactor":3,"FallUs":1500000,"DrainGraceUs":250000},
       "Orgs":[{"Name":"t","QuotaPerS":5,"Share":0.25}],
       "Report":{"Via":"answers","Fields":["recent_ms","backlog"]}}""";

  /** Canonical text of these settings in build c92f0c2. */
  private static final String TEXT_OF_EARLIER_BUILDS =
      "Settings[aggregators=3, zones=[north, south], zone=1, tickUs=1000, classes=["
          + "QueryClass[name=a, aimUs=1000000, aimStretch=0.0, deadlineUs=2000000, repeat=FREE,"
          + " lateWorth=0.0, dedupWindowUs=0, worth=3.0, streaming=false, followUp=0, floor=1.0,"
          + " need=1.0, shortWorth=1.0], "
          + "QueryClass[name=b, aimUs=700000, aimStretch=0.0, deadlineUs=1500000, repeat=GUARDED,"
          + " lateWorth=0.0, dedupWindowUs=4000000, worth=2.5, streaming=false, followUp=0,"
          + " floor=1.0, need=1.0, shortWorth=1.0]], "
          + "tenants=[Tenant[name=t, quotaPerS=5.0, share=0.25]], overShareWorth=1.0, "
          + "layout=Layout[cells=6, inARow=2, shards=12, partsPerCall=8, callOverheadUs=0], "
          + "limits=Limits[maxAttempts=4, mostHeld=2000, mayCancel=true, mayProbe=true,"
          + " parallelTries=false, retryAfter=true, maxRetryAfterUs=500000,"
          + " connectTimeoutUs=250000, streamsPerConnection=32, connectionIdleUs=15000000], "
          + "rules=Rules[answerSlackUs=20000, askWithinUs=0, repeatRatio=-1.0, budgetFree=0.0,"
          + " ratioSpanUs=0, coldFrom=0.15, warmAfterUs=17000000, overloadFactor=3.0,"
          + " fallUs=1500000, drainGraceUs=250000], "
          + "prices=Prices[crossZone=0.0, probe=0.0, waste=0.0, lateFail=0.0], "
          + "mustAskForList=false, reportsInAnswers=true, reportsInProbes=true, "
          + "reportFields=[RECENT_MS, BACKLOG], marksRepeats=false]";

  private static final String DIGEST_OF_EARLIER_BUILDS = "6ddefe95467f";

  private final Settings settings = SettingsReader.read(SETTINGS);

  @Test
  void textEqualsThatOfEarlierBuilds() {
    assertEquals(TEXT_OF_EARLIER_BUILDS, CanonicalSettings.of(settings));
  }

  @Test
  void digestEqualsThatOfEarlierBuilds() {
    assertEquals(DIGEST_OF_EARLIER_BUILDS, SettingsDigest.of(CanonicalSettings.of(settings)));
  }
}
