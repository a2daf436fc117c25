// Upstreams that answer a long upload before it was written: what the caller of
// a real node gets.

#include <criterion/criterion.h>

#include <cstdio>
#include <string>
#include <vector>

#include "process/scripted_answers.h"

namespace mulberryroad::process {
namespace {

// More than the buffers of a connection hold while its other side does not
// read.
constexpr std::size_t kUploadBytes = 3'500'000;

/// How an answer shows where it ends.
struct Framing {
  const char* name;
  const char* fields;
  std::string body;
  /// Bytes of the body of an answer that is cut.
  std::size_t cut;
  /// Ends of the connection after which a caller must get the whole answer.
  std::vector<AnswerEnd> sound_ends;
};

std::vector<Framing> Framings() {
  char size[8];
  std::snprintf(size, sizeof(size), "%zx", kAnswerBodyBytes);
  return {{"no length",
           "Connection: close\r\n",
           kAnswerBody,
           5,
           {AnswerEnd::kShutdown}},
          {"length",
           "Content-Length: 19\r\n",
           kAnswerBody,
           5,
           {AnswerEnd::kShutdown, AnswerEnd::kReset, AnswerEnd::kKeepOpen}},
          {"chunks",
           "Transfer-Encoding: chunked\r\n",
           std::string(size) + "\r\n" + kAnswerBody + "\r\n0\r\n\r\n",
           7 + kAnswerBodyBytes,
           {AnswerEnd::kShutdown, AnswerEnd::kReset, AnswerEnd::kKeepOpen}}};
}

void RunEarlyAnswers(const char* name, const char* route, const char* path,
                     AnswerTime answer_time) {
  AnswerRun run(name, route, answer_time);
  for (const Framing& framing : Framings()) {
    for (const char* status : {"200 OK", "500 Failed"}) {
      // A reset at once meets a node that has read nothing of the answer.
      for (const milliseconds pause : {milliseconds(0), milliseconds(100)}) {
        const Reply cut =
            run.Request(path, kUploadBytes, status, framing.fields,
                        {framing.body.substr(0, framing.cut),
                         {},
                         AnswerEnd::kReset,
                         pause});
        cr_expect(!IsSigned(cut) || !IsComplete(cut),
                  "%s, %s, reset after %d ms: a part of the answer counts as "
                  "complete: %s",
                  framing.name, status, static_cast<int>(pause.count()),
                  cut.bytes.c_str());
      }
      for (const AnswerEnd end : framing.sound_ends) {
        const Reply whole =
            run.Request(path, kUploadBytes, status, framing.fields,
                        {framing.body, {}, end, milliseconds(100)});
        cr_expect(IsSigned(whole) && IsComplete(whole) &&
                      whole.bytes.find("data: whole") != std::string::npos,
                  "%s, %s, end %d: a sound answer is lost: %s", framing.name,
                  status, static_cast<int>(end), whole.bytes.c_str());
      }
    }
  }
}

// Guards against a part of an answer that counts as complete, because the reset
// of its connection was noticed by the upload and not by the reader.
Test(early_answers, part_is_complete_for_repeatable_requests) {
  RunEarlyAnswers("early-reports", "reports", "/reports/",
                  AnswerTime::kHeadOnly);
}

Test(early_answers, part_is_complete_for_requests_that_run_once) {
  RunEarlyAnswers("early-orders", "orders", "/orders/", AnswerTime::kHeadOnly);
}

Test(early_answers, part_is_complete_for_streams) {
  RunEarlyAnswers("early-streams", "streams", "/streams/",
                  AnswerTime::kHeadOnly);
}

Test(early_answers, part_is_complete_while_the_upload_is_read) {
  RunEarlyAnswers("early-read", "orders", "/orders/", AnswerTime::kHead);
}

}  // namespace
}  // namespace mulberryroad::process
