// The ledger: replay of its traces, and a holder that was succeeded.

#include <criterion/criterion.h>

#include "fakes/entry_node.h"
#include "fakes/trace_file.h"
#include "ledger/ledger_table.h"

namespace mulberryroad::ledger {
namespace {

using fakes::EntryNode;
using fakes::RunUntil;
using fakes::Trace;
using fakes::TraceStep;

std::string OutcomeOf(const BeginDecision& decision) {
  const auto* known = std::get_if<Known>(&decision);
  return known == nullptr
             ? "append"
             : v1::LedgerReply::Outcome_Name(known->reply.outcome());
}

Test(ledger_trace, every_step_has_its_stated_outcome) {
  const std::vector<Trace> traces = fakes::ReadTraces("ledger");
  cr_assert_geq(traces.size(), 3U, "%zu traces", traces.size());
  for (const Trace& trace : traces) {
    LedgerTable table;
    int line = 0;
    for (const TraceStep& step : trace.steps) {
      ++line;
      if (step.has("commit")) {
        v1::Record record;
        *record.mutable_ledger_commit() =
            step.message<v1::LedgerCommit>("commit");
        table.Apply(record);
        continue;
      }
      const std::string outcome =
          OutcomeOf(table.Begin(step.message<v1::LedgerIntent>("begin")));
      cr_expect_eq(outcome, step.text("expect"),
                   "%s:%d: expected \"%s\", got \"%s\"", trace.name.c_str(),
                   line, step.text("expect").c_str(), outcome.c_str());
    }
  }
}

Test(ledger_table, a_snapshot_carries_all_entries) {
  LedgerTable table;
  v1::Record record;
  v1::LedgerCommit& commit = *record.mutable_ledger_commit();
  commit.set_epoch(4);
  for (const char* key : {"k1", "k2"}) {
    v1::LedgerIntent& intent = *commit.add_intents();
    intent.set_idempotency_key(key);
    intent.set_attempt("t1");
  }
  v1::LedgerOutcome& outcome = *commit.add_outcomes();
  outcome.set_idempotency_key("k2");
  outcome.set_attempt("t1");
  outcome.set_status(200);
  table.Apply(record);
  LedgerTable copy;
  v1::Record snapshot;
  *snapshot.mutable_snapshot()->add_live_records()->mutable_ledger_commit() =
      table.Snapshot();
  copy.Apply(snapshot);
  cr_expect_eq(copy.epoch(), 4U);
  v1::LedgerIntent again;
  again.set_attempt("t2");
  again.set_idempotency_key("k1");
  cr_expect_eq(OutcomeOf(copy.Begin(again)), "MAY_HAVE_RUN");
  again.set_idempotency_key("k2");
  cr_expect_eq(OutcomeOf(copy.Begin(again)), "REPLAY");
}

/// Two nodes on one log.
struct Pair {
  Pair() : first(world, "n1"), second(world, "n2") {
    for (EntryNode* at : {&first, &second}) {
      at->members.Put("n1", first.peer);
      at->members.Put("n2", second.peer);
      at->members.SetOwner("n1");
    }
    first.leases.Grant(fakes::kLedgerRole, 1);
    cr_assert(
        RunUntil(world.loop, [&] { return first.ledger_host.serves(0); }));
  }

  v1::LedgerReply Begin(EntryNode* node, const std::string& key,
                        const std::string& attempt) {
    v1::LedgerCall call;
    call.mutable_begin()->set_organisation("a");
    call.mutable_begin()->set_idempotency_key(key);
    call.mutable_begin()->set_attempt(attempt);
    call.mutable_begin()->set_created_unix_ms(
        static_cast<std::uint64_t>(UnixTime(world.clock.wall_now()).count()));
    std::optional<v1::LedgerReply> reply;
    node->ledger_host.Serve(call,
                            [&](const v1::LedgerReply& got) { reply = got; });
    cr_assert(RunUntil(world.loop, [&] { return reply.has_value(); }));
    return *reply;
  }

  fakes::TestWorld world;
  EntryNode first;
  EntryNode second;
};

// The first holder believes in its term throughout, as when its clock failed:
// the order of the log alone must keep a request from being sent twice.
Test(ledger_host, a_succeeded_holder_lets_nothing_run) {
  Pair pair;
  pair.second.leases.Grant(fakes::kLedgerRole, 9);
  const v1::LedgerReply stale = pair.Begin(&pair.first, "k1", "t1");
  cr_assert(RunUntil(pair.world.loop,
                     [&] { return pair.second.ledger_host.serves(0); }));
  const v1::LedgerReply fresh = pair.Begin(&pair.second, "k1", "t2");
  const bool both = stale.outcome() == v1::LedgerReply::PROCEED &&
                    fresh.outcome() == v1::LedgerReply::PROCEED;
  cr_expect(!both, "one try at most may be sent");
  cr_expect_eq(pair.Begin(&pair.first, "k2", "t3").outcome(),
               v1::LedgerReply::NOT_HOLDER);
  cr_expect_eq(pair.Begin(&pair.second, "k2", "t4").outcome(),
               v1::LedgerReply::PROCEED);
}

Test(ledger_host, a_lost_append_answer_lets_the_request_run_once) {
  Pair pair;
  pair.world.log.FailNextAppends({fakes::MemoryLog::Fault::kLoseAfter});
  const v1::LedgerReply first = pair.Begin(&pair.first, "k1", "t1");
  cr_expect_eq(first.outcome(), v1::LedgerReply::PROCEED);
  cr_expect_eq(pair.Begin(&pair.first, "k1", "t2").outcome(),
               v1::LedgerReply::MAY_HAVE_RUN);
}

Test(ledger_host, intents_that_come_together_share_a_record) {
  Pair pair;
  const platform::Offset before = pair.world.log.end("ledger/0");
  int proceeded = 0;
  for (int number = 0; number < 100; ++number) {
    v1::LedgerCall call;
    call.mutable_begin()->set_idempotency_key("k" + std::to_string(number));
    call.mutable_begin()->set_attempt("t");
    call.mutable_begin()->set_created_unix_ms(static_cast<std::uint64_t>(
        UnixTime(pair.world.clock.wall_now()).count()));
    pair.first.ledger_host.Serve(call, [&](const v1::LedgerReply& reply) {
      proceeded += reply.outcome() == v1::LedgerReply::PROCEED ? 1 : 0;
    });
  }
  cr_assert(RunUntil(pair.world.loop, [&] { return proceeded == 100; }),
            "%d of 100 may be sent", proceeded);
  const platform::Offset records = pair.world.log.end("ledger/0") - before;
  cr_expect_eq(records, 2U, "100 intents in %llu records",
               static_cast<unsigned long long>(records));
}

}  // namespace
}  // namespace mulberryroad::ledger
