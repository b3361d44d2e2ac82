//! The fakes themselves: that they do what the tests rely on.

mod support;

use support::setup::Size;
use support::{Fleet, SEC};

#[test]
fn fleet_time_passes() {
    let mut fleet: Fleet = Size::small().bare_fleet(1);
    fleet.run_until(SEC);
    assert_eq!(fleet.now, SEC);
    fleet.crash(1);
    fleet.run_for(SEC);
    fleet.start(1);
    fleet.pause(2);
    fleet.run_for(3 * SEC);
    fleet.resume(2);
    fleet.check();
}
