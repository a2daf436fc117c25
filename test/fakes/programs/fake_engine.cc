// Model engine stand-in.
#include "fakes/fake_engine.h"

#include <cstdlib>

#include "fakes/programs/program.h"

int main(int argc, const char** argv) {
  const auto flags = mulberryroad::fakes::ReadFlags(argc, argv);
  mulberryroad::base::EventLoop loop;
  mulberryroad::fakes::FakeEngine fake(loop, flags.model, flags.version, {});
  mulberryroad::fakes::ReadControl(flags, &fake.control());
  fake.crashed().connect([] { std::_Exit(3); });
  return mulberryroad::fakes::RunUntilSignal(&loop, fake.Listen(flags.listen));
}
