#include "fakes/programs/program.h"

#include <popt.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

#include "base/json.h"

namespace mulberryroad::fakes {

namespace {

[[noreturn]] void Refuse(const std::string& reason) {
  std::cerr << reason << "\n";
  std::exit(2);
}

Endpoint ReadEndpoint(const char* text, const std::string& flag) {
  if (text == nullptr) {
    return {};
  }
  const std::optional<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint.has_value()) {
    Refuse(flag + " is not IP:port");
  }
  return *endpoint;
}

}  // namespace

Flags ReadFlags(int argc, const char** argv) {
  char* listen = nullptr;
  char* second_listen = nullptr;
  char* vms = nullptr;
  char* model = nullptr;
  char* control = nullptr;
  int version = 1;
  const std::array options = {
      poptOption{"listen", 0, POPT_ARG_STRING, static_cast<void*>(&listen), 0,
                 "Address to serve", "IP:port"},
      poptOption{"second-listen", 0, POPT_ARG_STRING,
                 static_cast<void*>(&second_listen), 0,
                 "Log: address that second_outage cuts off", "IP:port"},
      poptOption{"vms", 0, POPT_ARG_STRING, static_cast<void*>(&vms), 0,
                 "Ordering: address of the VM list", "IP:port"},
      poptOption{"model", 0, POPT_ARG_STRING, static_cast<void*>(&model), 0,
                 "Engine: model that it serves", "NAME"},
      poptOption{"version", 0, POPT_ARG_INT, static_cast<void*>(&version), 0,
                 "Engine: weight version at first", "N"},
      poptOption{"control", 0, POPT_ARG_STRING, static_cast<void*>(&control), 0,
                 "First control message", "JSON"},
      poptOption POPT_AUTOHELP poptOption POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, options.data(), 0);
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    Refuse(std::string(poptBadOption(context, 0)) + ": " +
           poptStrerror(result));
  }
  poptFreeContext(context);
  Flags flags;
  flags.listen = ReadEndpoint(listen, "--listen");
  flags.second_listen = ReadEndpoint(second_listen, "--second-listen");
  flags.vms = ReadEndpoint(vms, "--vms");
  flags.model = model == nullptr ? "" : model;
  flags.version = static_cast<std::uint32_t>(version);
  flags.control = control == nullptr ? "{}" : control;
  return flags;
}

void ReadControl(const Flags& flags, google::protobuf::Message* control) {
  std::string reason;
  if (!base::FromJson(flags.control, control, &reason)) {
    Refuse("--control: " + reason);
  }
}

int RunUntilSignal(base::EventLoop* loop, bool listening) {
  // A closed connection is reported by the failed write instead of SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  if (!listening) {
    std::cerr << "the address can't be served\n";
    return 1;
  }
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop->OnSignal(signal_number, [loop] { loop->Stop(); });
  }
  loop->Run();
  // Leaves without taking apart exchanges that are under way.
  std::_Exit(0);
}

}  // namespace mulberryroad::fakes
