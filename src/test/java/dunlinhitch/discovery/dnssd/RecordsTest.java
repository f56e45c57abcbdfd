package dunlinhitch.discovery.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.discovery.dnssd.Dso.Head;
import dunlinhitch.discovery.dnssd.Dso.PushChange;
import dunlinhitch.discovery.dnssd.PushSession.Action;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.experiments.dns.Zone;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.CNAMERecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/** What records come to, and what is asked when, without sockets; and what a push client says. */
class RecordsTest {
  private static final String SERVICE = "_calendar._tcp.example.org.";
  private static final long S = 1_000_000;
  private final Zone zone = new Zone("example.org.");
  private final List<Question> asked = new ArrayList<>();
  private final TreeMap<String, EndpointClaim> claims = new TreeMap<>();
  private long now = 1_000 * S;
  private boolean whole;
  private final Records records = over(Names.parse(SERVICE));

  private Records over(Name... browsed) {
    return new Records(
        List.of(browsed),
        new TxtReader(new EndpointListReader(List.of("a"), e -> {})),
        new Records.Bounds(3, 2),
        new SplittableRandom(3),
        now);
  }

  private static List<Record> store(String instance, int port, String... more) {
    List<String> words = new ArrayList<>(List.of("id=" + instance, "cell=1", "zone=a"));
    words.addAll(List.of(more));
    return Zone.store(SERVICE, instance, "127.0.0.1", port, 100, words.toArray(String[]::new));
  }

  private void take(Records from) {
    Records.News news = from.news(now);
    whole |= news.whole();
    news.claims()
        .forEach(
            claim -> {
              if (claim.entry() == null) {
                claims.remove(claim.key());
              } else {
                claims.put(claim.key(), claim);
              }
            });
  }

  /** Every question that is due is answered by the zone, until there is none. */
  private void settle(Records from) {
    for (List<Question> due = from.due(now); !due.isEmpty(); due = from.due(now)) {
      assertTrue(due.size() <= 2, "no more at once than the bounds say");
      assertEquals(
          due.size(), new HashSet<>(due).size(), "one question in flight for each name and type");
      for (Question question : due) {
        asked.add(question);
        Message answer = zone.answer(Message.newQuery(question.record()));
        answer.removeAllRecords(Section.ADDITIONAL);
        from.answered(now, question, answer);
      }
      take(from);
    }
  }

  private List<Integer> ports() {
    return claims.values().stream().map(c -> c.entry().port()).sorted().toList();
  }

  @Test
  void ofSeveralTargetsThoseOfTheLowestPriorityCount() {
    zone.change(List.of(), store("one", 7001));
    Name one = Names.parse("one." + SERVICE);
    Name host = Names.parse("host-127-0-0-1.example.org.");
    zone.add(new SRVRecord(one, DClass.IN, 100, 5, 0, 7002, host));
    settle(records);
    assertEquals(List.of(7001), ports());
    assertTrue(whole, "all that is listed is known");
    zone.add(new SRVRecord(one, DClass.IN, 100, 0, 9, 7003, host));
    records.reask(now, true);
    settle(records);
    assertEquals(
        List.of(7001, 7003), ports(), "two of one priority contradict each other: both are told");
    zone.add(new TXTRecord(one, DClass.IN, 100, List.of("id=one", "cell=2", "zone=a")));
    records.reask(now, true);
    settle(records);
    assertEquals(4, claims.size(), "each way to read it");
  }

  @Test
  void setsAreAskedForAgainBeforeTheyRunOutAndFailuresWait() {
    zone.change(List.of(), store("one", 7001));
    settle(records);
    asked.clear();
    now += 79 * S;
    settle(records);
    assertEquals(List.of(), asked);
    now += 12 * S;
    settle(records);
    assertEquals(
        Set.of(Type.PTR, Type.SRV, Type.TXT, Type.A),
        Set.copyOf(asked.stream().map(Question::type).toList()));
    long until = claims.firstEntry().getValue().untilUs();
    assertTrue(until >= now + 99 * S, "its time was moved on");
    now += 91 * S;
    for (List<Question> due = records.due(now); !due.isEmpty(); due = records.due(now)) {
      due.forEach(question -> records.failed(now, question));
    }
    take(records);
    assertEquals(1, claims.size(), "failures change nothing");
    Records silent = over(Names.parse(SERVICE));
    long waited = 0;
    List<Question> due = silent.due(now);
    for (int i = 0; i < 12; i++) {
      long from = now;
      silent.failed(now, due.get(0));
      for (due = silent.due(now); due.isEmpty(); due = silent.due(now)) {
        now = silent.nextUs();
      }
      assertTrue(now - from > waited || now - from > 20 * S, "growing pauses");
      assertTrue(now - from < 40 * S, "up to a bound");
      waited = now - from;
    }
  }

  @Test
  void onlyAuthorityTakesBack() {
    zone.change(List.of(), store("one", 7001));
    zone.change(List.of(), store("two", 7002));
    settle(records);
    assertEquals(2, claims.size());
    zone.remove(Zone.pointer(SERVICE, "one", 100));
    records.reask(now, false);
    Question question = records.due(now).get(0);
    Message answer = zone.answer(Message.newQuery(question.record()));
    answer.getHeader().unsetFlag(Flags.AA);
    records.answered(now, question, answer);
    take(records);
    assertEquals(2, claims.size(), "an answer without authority lists, but does not withdraw");
    zone.empty();
    now += 200 * S;
    for (Question due : records.due(now)) {
      Message no = zone.answer(Message.newQuery(due.record()));
      assertEquals(Rcode.NXDOMAIN, no.getRcode());
      no.getHeader().unsetFlag(Flags.AA);
      records.answered(now, due, no);
    }
    take(records);
    assertEquals(2, claims.size());
    assertTrue(records.oddities().containsKey(Records.Oddity.NOT_AUTHORITATIVE));
    now += 60 * S;
    settle(records);
    assertEquals(List.of(), claims.keySet().stream().filter(key -> key.startsWith("two")).toList());
  }

  @Test
  void whatWasClaimedBeforeTheStartIsTakenBackIfItIsMissing() {
    zone.change(List.of(), store("one", 7001));
    List<String> back = new ArrayList<>();
    records.restored(
        List.of(
            "gone._calendar._tcp.example.org.|h.:1|0", "one._calendar._tcp.example.org.|h.:9|0"));
    for (List<Question> due = records.due(now); !due.isEmpty(); due = records.due(now)) {
      due.forEach(q -> records.answered(now, q, zone.answer(Message.newQuery(q.record()))));
      records.news(now).claims().stream()
          .filter(c -> c.entry() == null)
          .forEach(c -> back.add(c.key()));
    }
    assertTrue(back.contains("gone._calendar._tcp.example.org.|h.:1|0"), back.toString());
  }

  @Test
  void namesBoundsAliasesAndSubtypes() {
    assertEquals("Saal 2. Süd", Names.instance(Names.parse("Saal\\0322\\.\\032Süd." + SERVICE)));
    Name sub = Names.subtype("amman", Names.parse(SERVICE));
    assertEquals("_amman._sub." + SERVICE, sub.toString());
    zone.change(List.of(), store("one", 7001));
    zone.change(List.of(), store("other", 7002));
    zone.add(new PTRRecord(sub, DClass.IN, 100, Names.parse("one." + SERVICE)));
    Records amman = over(sub);
    settle(amman);
    assertEquals(List.of(7001), ports());
    claims.clear();
    // an alias in the place of the host, and one that leads in a ring
    Name host = Names.parse("host-127-0-0-1.example.org.");
    Name alias = Names.parse("alias.example.org.");
    List<Record> third = new ArrayList<>(store("third", 7003));
    third.set(1, new SRVRecord(Names.parse("third." + SERVICE), DClass.IN, 100, 0, 0, 7003, alias));
    zone.change(List.of(), third);
    zone.change(List.of(), store("fourth", 7004));
    for (List<Question> due = records.due(now); !due.isEmpty(); due = records.due(now)) {
      for (Question q : due) {
        Message answer = zone.answer(Message.newQuery(q.record()));
        if (q.name().equals(alias)) {
          answer = new Message(answer.getHeader().getID());
          answer.getHeader().setFlag(Flags.AA);
          answer.addRecord(new CNAMERecord(alias, DClass.IN, 100, host), Section.ANSWER);
          for (Record record : zone.get(new Question(host, q.type()))) {
            answer.addRecord(record, Section.ANSWER);
          }
        }
        records.answered(now, q, answer);
      }
      take(records);
    }
    assertEquals(3, claims.size(), "as many instances as the bounds say");
    assertTrue(ports().contains(7003));
    assertTrue(records.oddities().containsKey(Records.Oddity.TOO_MANY));
    Question ring = new Question(alias, Type.A);
    records.reask(now, true);
    records.due(now);
    Message loop = new Message();
    loop.getHeader().setFlag(Flags.AA);
    loop.addRecord(new CNAMERecord(alias, DClass.IN, 100, alias), Section.ANSWER);
    for (List<Question> due = records.due(now); !due.isEmpty(); due = records.due(now)) {
      due.forEach(q -> records.failed(now, q));
    }
    records.answered(now, ring, loop);
    take(records);
    assertEquals(3, claims.size());
  }

  /**
   * Good messages with a few bytes changed, cut or doubled: each is turned down or taken, none
   * throws.
   */
  @Test
  void brokenMessagesByTheThousandAreTurnedDown() throws Exception {
    zone.change(List.of(), store("one", 7001));
    zone.change(List.of(), store("two", 7002, "state=draining"));
    settle(records);
    SplittableRandom random = new SplittableRandom(9);
    int taken = 0;
    for (int i = 0; i < 20_000; i++) {
      now += S;
      records.reask(now, true);
      for (Question question : records.due(now)) {
        Message query = Message.newQuery(question.record());
        byte[] bytes = zone.answer(query).toWire(65_535);
        for (int change = random.nextInt(1, 4); change > 0; change--) {
          bytes[random.nextInt(2, bytes.length)] = (byte) random.nextInt(256);
        }
        if (random.nextInt(4) == 0) {
          bytes = java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length + 20));
        }
        Message answer = Resolver.read(query, bytes);
        if (answer == null) {
          records.failed(now, question);
        } else {
          taken++;
          records.answered(now, question, answer);
        }
      }
      take(records);
    }
    assertTrue(taken > 100, "some could be read all the same: " + taken);
    Record one = store("one", 7001).get(1);
    byte[] push =
        message(
            Dso.write(
                new Head(0, false, 0),
                Dso.push(
                    List.of(
                        new PushChange(false, new Question(one.getName(), Type.SRV), one),
                        new PushChange(true, new Question(one.getName(), Type.TXT), null)))));
    int closed = 0;
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = push.clone();
      for (int change = random.nextInt(1, 4); change > 0; change--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      PushSession dialogue = new PushSession(random, now);
      dialogue.passed(now);
      dialogue.connected(now);
      for (Action action : dialogue.received(now, bytes)) {
        closed += action instanceof PushSession.Close ? 1 : 0;
        if (action instanceof PushSession.Pushed pushed) {
          for (PushChange change : pushed.changes()) {
            if (change.removed()) {
              records.removed(now, change.key(), change.record());
            } else {
              records.added(now, change.record());
            }
          }
        }
      }
    }
    take(records);
    assertTrue(closed > 1_000, "most end the session: " + closed);
  }

  // ---- push

  private static List<byte[]> sent(List<Action> actions) {
    return actions.stream()
        .filter(a -> a instanceof PushSession.Send)
        .map(
            a -> {
              Buffer bytes = ((PushSession.Send) a).bytes();
              return bytes.getBytes(2, bytes.length());
            })
        .toList();
  }

  private static byte[] message(Buffer framed) {
    return framed.getBytes(2, framed.length());
  }

  @Test
  void aPushClientSubscribesKeepsAliveAndObeysARetryDelay() throws Exception {
    PushSession dialogue = new PushSession(new SplittableRandom(5), now);
    Set<Question> wanted = Set.of(new Question(Names.parse(SERVICE), Type.PTR));
    assertEquals(1, dialogue.passed(now).size());
    Dso.DsoMessage hello = Dso.read(sent(dialogue.connected(now)).get(0));
    assertEquals(Dso.KEEPALIVE, hello.tlvs().get(0).type());
    assertEquals(
        List.of(),
        dialogue.wanted(now, wanted),
        "not before the server has shown that it speaks this");
    dialogue.received(
        now,
        message(Dso.write(new Head(hello.head().id(), true, 0), Dso.keepAlive(15_000, 20_000))));
    Dso.DsoMessage subscribe = Dso.read(sent(dialogue.wanted(now, wanted)).get(0));
    assertEquals(wanted.iterator().next(), Dso.subscribed(subscribe.tlvs().get(0)));
    List<Action> followed =
        dialogue.received(now, message(Dso.write(new Head(subscribe.head().id(), true, 0))));
    assertEquals(List.of(new PushSession.Followed(wanted.iterator().next(), true)), followed);
    Record one = store("one", 7001).get(0);
    List<Action> pushed =
        dialogue.received(
            now,
            message(
                Dso.write(
                    new Head(0, false, 0),
                    Dso.push(
                        List.of(
                            new PushChange(false, new Question(one.getName(), Type.PTR), one),
                            new PushChange(true, new Question(one.getName(), Type.PTR), one),
                            new PushChange(true, new Question(one.getName(), Type.SRV), null))))));
    List<PushChange> changes = ((PushSession.Pushed) pushed.get(0)).changes();
    assertEquals(List.of(false, true, true), changes.stream().map(PushChange::removed).toList());
    assertEquals(one, changes.get(1).record());
    now += 20 * S;
    assertEquals(Dso.KEEPALIVE, Dso.read(sent(dialogue.passed(now)).get(0)).tlvs().get(0).type());
    List<Action> away =
        dialogue.received(now, message(Dso.write(new Head(0, false, 0), Dso.retryDelay(90_000))));
    assertTrue(away.contains(new PushSession.Followed(wanted.iterator().next(), false)));
    assertTrue(dialogue.nextUs() >= now + 90 * S, "it stays away for as long as it was asked to");
    assertEquals(List.of(), dialogue.passed(now + 89 * S));
    // silence for twice the interval, and an interval below what is allowed, end a session
    now += 200 * S;
    dialogue.passed(now);
    dialogue.connected(now);
    assertTrue(
        dialogue.passed(now + 30 * S).stream().anyMatch(a -> a instanceof PushSession.Close));
    now += 300 * S;
    dialogue.passed(now);
    dialogue.connected(now);
    assertTrue(
        dialogue
            .received(now, message(Dso.write(new Head(0, false, 0), Dso.keepAlive(1, 500))))
            .stream()
            .anyMatch(a -> a instanceof PushSession.Close));
  }

  /**
   * Registered when ready, again before the lease ends, with growing pauses where it is refused,
   * and gone first of all.
   */
  @Test
  void anAnnouncementIsKeptUpAndTakenBack() {
    Name instance = Names.parse("n0._broker._tcp.example.org.");
    RegistrationStateMachine plan =
        new RegistrationStateMachine(
            new RegistrationStateMachine.Content(
                Names.parse("example.org."),
                Names.parse("_broker._tcp.example.org."),
                instance,
                Names.parse("n0.example.org."),
                "127.0.0.1",
                7070,
                List.of(),
                120,
                3_600),
            new SplittableRandom(8));
    assertEquals(null, plan.due(now), "not before it serves");
    plan.ready(now);
    RegistrationStateMachine.Step step = plan.due(now);
    assertTrue(!step.withdrawal() && step.update().getSection(Section.UPDATE).size() >= 4);
    assertEquals(null, plan.due(now), "one at a time");
    long waited = 0;
    for (int i = 0; i < 4; i++) {
      plan.failed(now, false);
      assertTrue(plan.nextUs() - now > waited, "growing pauses");
      waited = plan.nextUs() - now;
      now = plan.nextUs();
      assertTrue(plan.due(now) != null);
    }
    Message granted = new Message();
    granted.addRecord(
        new org.xbill.DNS.OPTRecord(
            1232,
            0,
            0,
            0,
            List.of(new org.xbill.DNS.GenericEDNSOption(2, new byte[] {0, 0, 0, 100}))),
        Section.ADDITIONAL);
    plan.done(now, granted, false);
    assertTrue(plan.isHeld());
    assertTrue(
        plan.nextUs() >= now + 70 * S && plan.nextUs() <= now + 80 * S,
        "of the lease that was granted, not asked for");
    plan.ending(now);
    RegistrationStateMachine.Step last = plan.due(now);
    assertTrue(last.withdrawal());
    plan.failed(now, true);
    assertTrue(plan.due(plan.nextUs()).withdrawal(), "it is tried again");
    plan.done(now, granted, true);
    assertTrue(plan.isLeft());
    assertEquals(null, plan.due(now + 1_000 * S));
  }
}
