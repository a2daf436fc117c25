// What the programs of all stand-ins share: flags and the loop.

#ifndef MULBERRYROAD_TEST_FAKES_PROGRAMS_PROGRAM_H_
#define MULBERRYROAD_TEST_FAKES_PROGRAMS_PROGRAM_H_

#include <google/protobuf/message.h>

#include <string>

#include "base/event_loop.h"
#include "mulberryroad/endpoint.h"

namespace mulberryroad::fakes {

/// Flags of a stand-in's program.
struct Flags {
  Endpoint listen;
  /// fake_log: address of the callers that second_outage cuts off.
  Endpoint second_listen;
  /// fake_ordering: address of fake_vms.
  Endpoint vms;
  /// fake_engine: what it serves at first.
  std::string model;
  std::uint32_t version = 1;
  /// First control message, as JSON.
  std::string control;
};

/// Reads the flags; ends the process with exit code 2 and the reason if one is
/// wrong.
Flags ReadFlags(int argc, const char** argv);

/// Fills a control message from the --control flag; ends the process with exit
/// code 2 if it is malformed.
void ReadControl(const Flags& flags, google::protobuf::Message* control);

/// Runs the loop until SIGTERM or SIGINT.
/// @param listening false ends the process with exit code 1
int RunUntilSignal(base::EventLoop* loop, bool listening);

}  // namespace mulberryroad::fakes

#endif  // MULBERRYROAD_TEST_FAKES_PROGRAMS_PROGRAM_H_
