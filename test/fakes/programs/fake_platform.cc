// Stand-in of the platform: its store and its duty calls.
#include "fakes/platform/fake_platform.h"

#include "fakes/programs/program.h"

int main(int argc, const char** argv) {
  const auto flags = mulberryroad::fakes::ReadFlags(argc, argv);
  mulberryroad::base::EventLoop loop;
  mulberryroad::fakes::FakePlatform fake(loop, flags.version);
  return mulberryroad::fakes::RunUntilSignal(&loop, fake.Listen(flags.listen));
}
