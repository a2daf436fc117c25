// Upstreams that run a request and answer with a status that promises the
// opposite: what the caller of a real node gets.

#include <criterion/criterion.h>

#include "process/scripted_answers.h"

namespace mulberryroad::process {
namespace {

// Guards against a status by which the caller sends a request again that ran.
void RunPromises(const char* name, const char* route, const char* path) {
  AnswerRun run(name, route, AnswerTime::kWholeRequest);
  for (const char* status : {"408 Late", "429 Full", "503 Full"}) {
    const Reply ran = run.Request(path, 10, status, "Content-Length: 2\r\n",
                                  {"no", {}, AnswerEnd::kKeepOpen});
    cr_expect_eq(ran.status(), 502, "%s: %s", status, ran.bytes.c_str());
    cr_expect(!IsSigned(ran), "%s: %s", status, ran.bytes.c_str());
    const Reply refused = run.Request(
        path, 10, status, "Not-Executed: 1\r\nContent-Length: 2\r\n",
        {"no", {}, AnswerEnd::kKeepOpen});
    cr_expect_neq(refused.status(), 502, "%s: %s", status,
                  refused.bytes.c_str());
  }
}

Test(promised_statuses, passed_on_for_repeatable_requests) {
  RunPromises("promise-reports", "reports", "/reports/");
}

Test(promised_statuses, passed_on_for_requests_that_run_once) {
  RunPromises("promise-orders", "orders", "/orders/");
}

Test(promised_statuses, passed_on_for_streams) {
  RunPromises("promise-streams", "streams", "/streams/");
}

}  // namespace
}  // namespace mulberryroad::process
