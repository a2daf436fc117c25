// Stand-in of an upstream on the platform. Its only argument is a JSON object
// with the fields of ReplicaOptions.
#include "fakes/platform/fake_replica.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <nlohmann/json.hpp>

namespace {

constexpr int kBadArguments = 2;

mulberryroad::Endpoint ReadEndpoint(const nlohmann::json& options,
                                    const char* name) {
  const auto endpoint =
      mulberryroad::ParseEndpoint(options.value(name, std::string()));
  if (!endpoint.has_value()) {
    std::fprintf(stderr, "fake_replica: \"%s\" is not IP:port\n", name);
    std::exit(kBadArguments);
  }
  return *endpoint;
}

int Run(int argc, const char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto json = argc == 2 ? nlohmann::json::parse(argv[1], nullptr, false)
                              : nlohmann::json();
  if (!json.is_object()) {
    std::fprintf(stderr, "fake_replica: one JSON object is expected\n");
    return kBadArguments;
  }
  mulberryroad::fakes::ReplicaOptions options;
  options.id = json.value("id", "replica-1");
  options.service = json.value("service", "service");
  options.failure_domain = json.value("failure_domain", "d1");
  options.listen = ReadEndpoint(json, "listen");
  options.advertised = ReadEndpoint(json, "advertised");
  options.platform = ReadEndpoint(json, "platform");
  options.software = json.value("software", options.software);
  options.slots = json.value("slots", options.slots);
  options.models = json.value("models", options.models);
  options.fault_share = json.value("fault_share", options.fault_share);
  options.leaving_after =
      std::chrono::milliseconds(json.value("leaving_after_ms", 0));
  options.requests_per_second =
      json.value("requests_per_second", options.requests_per_second);
  mulberryroad::base::EventLoop loop;
  mulberryroad::fakes::FakeReplica replica(loop, options);
  if (!replica.Listen()) {
    std::fprintf(stderr, "fake_replica: the address can't be served\n");
    return 1;
  }
  loop.OnSignal(SIGTERM, [&replica] { replica.Drain(); });
  loop.Run();
  std::_Exit(0);
}

}  // namespace

int main(int argc, const char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fake_replica: %s\n", error.what());
    return kBadArguments;
  }
}
