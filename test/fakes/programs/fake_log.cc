// Log service stand-in.
#include "fakes/fake_log.h"

#include "fakes/programs/program.h"
#include "mulberryroad/clock.h"

int main(int argc, const char** argv) {
  const auto flags = mulberryroad::fakes::ReadFlags(argc, argv);
  const mulberryroad::SystemClock clock;
  mulberryroad::base::EventLoop loop;
  mulberryroad::fakes::FakeLog fake(loop, clock);
  mulberryroad::fakes::ReadControl(flags, &fake.control());
  const bool second =
      flags.second_listen.port == 0 || fake.ListenSecond(flags.second_listen);
  return mulberryroad::fakes::RunUntilSignal(
      &loop, second && fake.Listen(flags.listen));
}
