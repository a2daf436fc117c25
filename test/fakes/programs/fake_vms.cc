// VM list stand-in.
#include "fakes/fake_vms.h"

#include "fakes/programs/program.h"

int main(int argc, const char** argv) {
  const auto flags = mulberryroad::fakes::ReadFlags(argc, argv);
  mulberryroad::base::EventLoop loop;
  mulberryroad::fakes::FakeVms fake(loop);
  mulberryroad::fakes::ReadControl(flags, &fake.control());
  return mulberryroad::fakes::RunUntilSignal(&loop, fake.Listen(flags.listen));
}
