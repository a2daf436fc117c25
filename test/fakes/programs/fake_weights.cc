// Weight store stand-in.
#include "fakes/fake_weights.h"

#include "fakes/programs/program.h"
#include "mulberryroad/clock.h"

int main(int argc, const char** argv) {
  const auto flags = mulberryroad::fakes::ReadFlags(argc, argv);
  const mulberryroad::SystemClock clock;
  mulberryroad::base::EventLoop loop;
  mulberryroad::fakes::FakeWeights fake(loop, clock);
  mulberryroad::fakes::ReadControl(flags, &fake.control());
  return mulberryroad::fakes::RunUntilSignal(&loop, fake.Listen(flags.listen));
}
