package dunlinhitch.answerkeys;

import static dunlinhitch.answerkeys.AnswerKeyFixtures.DEADLINE;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.NOW;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.SETTINGS;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.answer;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.assertLeads;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.assertResponds;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.key;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.module;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.part;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import dunlinhitch.answerkeys.Action.OwnerReply;
import dunlinhitch.cluster.RendezvousHash;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class PeerProtocolTest {
  private static final List<String> NAMES = List.of("n0", "n1", "n2");

  @Test
  void ownerLetsOnePeerFetchAndTheOthersWait() {
    Map<String, AnswerKeyModule> modules = new HashMap<>();
    NAMES.forEach(name -> modules.put(name, module(name, SETTINGS)));
    modules.values().forEach(module -> module.updateMembers(NOW, NAMES));
    String ownerName = RendezvousHash.first(NAMES, key("a").ownershipComponents());
    List<String> others = NAMES.stream().filter(name -> !name.equals(ownerName)).toList();
    AnswerKeyModule owner = modules.get(ownerName);
    AnswerKeyModule first = modules.get(others.get(0));
    AnswerKeyModule second = modules.get(others.get(1));
    Action.RequestFromOwner firstRequest = requestOf(first, 1);
    Action.RequestFromOwner secondRequest = requestOf(second, 2);
    assertEquals(ownerName, firstRequest.owner());
    Action.ReplyToPeer lease =
        (Action.ReplyToPeer) deliverRequest(owner, others.get(0), firstRequest).get(0);
    assertEquals(OwnerReply.FETCH, lease.reply());
    assertEquals(List.of(), deliverRequest(owner, others.get(1), secondRequest));
    assertEquals(List.of(), owner.onQuery(NOW, 3, part("a"), DEADLINE));
    Action.Fetch fetch = assertLeads(deliverReply(first, NOW, ownerName, lease), 1);
    Action.ReportToOwner report =
        (Action.ReportToOwner) first.onFetchSucceeded(NOW + 9, fetch.fetchId(), answer("v")).get(0);
    List<Action> afterReport =
        owner.onPeerReport(NOW + 9, others.get(0), report.key(), report.cached());
    Action.ReplyToPeer reply = (Action.ReplyToPeer) afterReport.get(0);
    assertResponds("v", afterReport.subList(1, 2));
    assertResponds("v", deliverReply(second, NOW + 9, ownerName, reply));
    assertResponds("v", second.onQuery(NOW + 10, 4, part("a"), DEADLINE));
  }

  private static Action.RequestFromOwner requestOf(AnswerKeyModule module, long query) {
    return (Action.RequestFromOwner) module.onQuery(NOW, query, part("a"), DEADLINE).get(0);
  }

  private static List<Action> deliverRequest(
      AnswerKeyModule owner, String peer, Action.RequestFromOwner request) {
    return owner.onPeerRequest(
        NOW, peer, request.fetchId(), request.key(), request.part(), request.deadlineUs());
  }

  private static List<Action> deliverReply(
      AnswerKeyModule module, long nowUs, String owner, Action.ReplyToPeer reply) {
    return module.onOwnerReply(
        nowUs, owner, reply.fetchId(), reply.key(), reply.reply(), reply.cached());
  }

  @Test
  void unresponsiveOwnerIsAwaitedUntilItsDeadlineOnly() {
    AnswerKeyModule module = module();
    module.updateMembers(NOW, NAMES);
    String text =
        Stream.of("a", "b", "c", "d", "e", "f", "g")
            .filter(
                candidate ->
                    !RendezvousHash.first(NAMES, key(candidate).ownershipComponents()).equals("n0"))
            .findFirst()
            .orElseThrow();
    Action.RequestFromOwner request =
        (Action.RequestFromOwner) module.onQuery(NOW, 1, part(text), DEADLINE).get(0);
    assertEquals(NOW + 100_000, request.deadlineUs());
    assertEquals(List.of(), module.onTimer(request.deadlineUs() - 1));
    long fetchId = assertLeads(module.onTimer(request.deadlineUs()), 1).fetchId();
    assertEquals(
        List.of(),
        module.onOwnerReply(
            request.deadlineUs() + 1,
            request.owner(),
            request.fetchId(),
            request.key(),
            OwnerReply.FETCH,
            null));
    assertInstanceOf(
        Action.ReportToOwner.class,
        module.onFetchSucceeded(request.deadlineUs() + 2, fetchId, answer("v")).get(0));
  }
}
