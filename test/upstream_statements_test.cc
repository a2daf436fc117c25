// Tests what nodes keep of the statements of upstreams about themselves.

#include "serving/upstream_statements.h"

#include <criterion/criterion.h>

#include "fakes/fake_upstreams.h"
#include "platform/upstream_client.h"
#include "serving/upstreams.h"

namespace mulberryroad::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Instant At(milliseconds time) { return Instant{} + seconds(100) + time; }

Test(upstream_statements, limited_upstream_gets_one_request_per_permit) {
  UpstreamStatements statements;
  const UpstreamId id("u");
  const Instant now = At(milliseconds(0));
  cr_assert(statements.MaySend(id, now));
  statements.OnResponse(id, milliseconds(5), {.requests_per_second = 2}, now);
  cr_assert(!statements.MaySend(id, now));
  statements.AddPermit(id, now + milliseconds(200));
  cr_assert(statements.MaySend(id, now));
  cr_assert(!statements.MaySend(id, now + milliseconds(201)));
  statements.OnRequestSent(id, now);
  cr_assert(!statements.MaySend(id, now));
  // Without a signature, a missing header does not end the limit.
  statements.OnResponse(id, milliseconds(5), {}, now);
  cr_assert(!statements.MaySend(id, now));
  statements.OnResponse(id, milliseconds(5), {.complete = true}, now);
  cr_assert(statements.MaySend(id, now));
}

Test(upstream_statements, limit_ends_with_the_process_that_named_it) {
  UpstreamStatements statements;
  const UpstreamId id("u");
  const Instant now = At(milliseconds(0));
  statements.OnResponse(id, milliseconds(5), {.requests_per_second = 2}, now);
  statements.OnRestarted(id, milliseconds(9));
  cr_assert(statements.MaySend(id, now));
  statements.OnResponse(id, milliseconds(5), {.requests_per_second = 2}, now);
  cr_assert(statements.MaySend(id, now), "an earlier process named the limit");
}

Test(upstream_statements, report_of_another_node_counts_if_it_is_newer) {
  UpstreamStatements statements;
  const UpstreamId id("u");
  KnownStatement known;
  known.started = milliseconds(5);
  known.requests_per_second = 2;
  known.learned = At(milliseconds(0));
  statements.OnReported(id, known);
  cr_assert(!statements.MaySend(id, At(milliseconds(0))));
  statements.OnResponse(id, milliseconds(5), {.complete = true},
                        At(milliseconds(10)));
  cr_assert(statements.MaySend(id, At(milliseconds(10))));
  statements.OnReported(id, known);
  cr_assert(statements.MaySend(id, At(milliseconds(10))), "an older report");
  known.learned = At(milliseconds(20));
  known.started = milliseconds(4);
  statements.OnReported(id, known);
  cr_assert(statements.MaySend(id, At(milliseconds(20))),
            "a report on an earlier process");
  known.started = milliseconds(5);
  statements.OnReported(id, known);
  cr_assert(!statements.MaySend(id, At(milliseconds(20))));
}

Test(upstream_directory, leaving_upstream_is_used_while_registered_as_ready) {
  UpstreamDirectory directory;
  Registration upstream = fakes::MakeUpstream("u", "desk");
  upstream.started = milliseconds(5);
  directory.Put(upstream);
  directory.MarkLeaving(upstream.id, milliseconds(4), At(milliseconds(0)));
  cr_assert_eq(directory.Ready(upstream.service).size(), 1,
               "an earlier process left");
  directory.MarkLeaving(upstream.id, upstream.started, At(milliseconds(0)));
  cr_assert(directory.Ready(upstream.service).empty());
  directory.Put(upstream);
  cr_assert(directory.Ready(upstream.service).empty(),
            "a heartbeat does not end it");
  directory.Remove(upstream.id, /*store_unstable=*/false, At(milliseconds(0)));
  directory.Put(upstream);
  cr_assert(directory.Ready(upstream.service).empty(),
            "the entry of the same process returned");
  upstream.started = milliseconds(9);
  directory.Put(upstream);
  cr_assert_eq(directory.Ready(upstream.service).size(), 1,
               "its successor is free");
}

Statement Decode(int status, std::map<std::string, std::string> headers) {
  const auto statement = platform_adapter::DecodeStatement(
      RequestId("r1"), {status, std::move(headers), ""});
  cr_assert(statement.has_value());
  return *statement;
}

Test(statement_codec, headers_of_any_answer_of_the_upstream_count) {
  for (const int status : {200, 422, 500, 503}) {
    const Statement statement =
        Decode(status, {{"server-leaving", "1"}, {"server-limit", "1.5"}});
    cr_expect(statement.leaving, "status %d", status);
    cr_expect_eq(statement.requests_per_second.value_or(0), 1.5);
  }
  cr_expect(!Decode(200, {{"server-leaving", "0"}}).leaving);
  for (const char* malformed : {"", "x", "1.5x", "-1", "nan", "inf"}) {
    const Statement statement = Decode(200, {{"request-id", "r1"},
                                             {"server-seal", "s"},
                                             {"server-limit", malformed}});
    cr_expect(!statement.requests_per_second.has_value(), "%s", malformed);
    cr_expect(!statement.complete, "%s does not end a limit", malformed);
  }
  cr_expect(Decode(200, {{"request-id", "r1"}, {"server-seal", "s"}}).complete);
  cr_expect(!Decode(503, {{"request-id", "r1"}}).complete);
}

Test(statement_codec, answers_of_others_do_not_count) {
  using platform_adapter::DecodeStatement;
  const RequestId id("r1");
  cr_expect(!DecodeStatement(id, {421, {{"server-leaving", "1"}}, ""}));
  cr_expect(!DecodeStatement(
      id, {200, {{"request-id", "r2"}, {"server-leaving", "1"}}, ""}));
}

}  // namespace
}  // namespace mulberryroad::serving
