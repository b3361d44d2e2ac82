//! The budget of requests from log lines.

use crate::support::{File, run_with};
use dahliastile_core::time::Span;
use dahliastile_ctl::{Error, budget};

/// Lines of two VMs as they are written, in the order of time; the scheduler's line on a request comes before its VM's.
const LOG: &str = "\
2026-03-02 10:22:43.011 debug vm1 E510 Placed id=a vm=vm2 adapter=a1 version=None server=e1 waited=20ms reads=9 running=1 backlog=0s
2026-03-02 10:22:43.012 debug vm2 E511 Sent id=a route=plan config=1 server=e1 send=1 waited=22ms open=1
2026-03-02 10:22:43.112 debug vm2 E513 Served id=a route=plan server=e1 late=no first=120ms pause=30ms took=400ms
2026-03-02 10:22:43.112 debug vm2 E511 Sent id=b route=plan config=1 server=e1 send=1 waited=800ms open=1
2026-03-02 10:22:43.512 debug vm2 E512 SendFailed id=b server=e1 ran=No cause=Full begun=false
2026-03-02 10:22:43.512 debug vm2 E511 Sent id=b route=plan config=1 server=e2 send=2 waited=900ms open=1
2026-03-02 10:22:43.912 debug vm2 E513 Served id=b route=plan server=e2 late=first first=1300ms pause=30ms took=2s
2026-03-02 10:22:44.012 debug vm1 E511 Sent id=c route=plan config=1 server=e1 send=1 waited=10ms open=1
2026-03-02 10:22:44.112 debug vm1 E513 Served id=c route=plan server=e1 late=pause first=90ms pause=600ms took=2s
2026-03-02 10:22:44.112 info vm1 E516 TurnedAway id=d vm=vm2 why=Load forecast=2s waited=3ms left=4s after=1500ms
2026-03-02 10:22:44.113 debug vm2 E503 Refused id=d why=scheduler waited=4ms sends=0 ran=0
2026-03-02 10:22:44.113 debug vm2 E511 Sent id=e route=post config=1 server=p1 send=1 waited=0s open=1
2026-03-02 10:22:44.213 debug vm2 E503 Refused id=e why=send_failed waited=100ms sends=1 ran=1
2026-03-02 10:22:44.213 debug vm2 E511 Sent id=f route=post config=1 server=p1 send=1 waited=0s open=1
2026-03-02 10:22:45.213 info vm2 E515 TimedOut id=f server=p1 begun=false timeout=1s
2026-03-02 10:22:45.213 debug vm2 E511 Sent id=g route=post config=1 server=p1 send=1 waited=0s open=1
2026-03-02 10:22:45.313 debug vm2 E514 CallerLeft id=g after=100ms
2026-03-02 10:22:45.313 debug vm2 E511 Sent id=h route=post config=1 server=p1 send=1 waited=0s open=1
2026-03-02 10:22:45.313 info vm1 E427 SchedulerState wait_room=0 load_time=250ms
not a line of this program id=
";

#[test]
fn budget_addsup() {
    let rows = budget(LOG);
    let plan = &rows["plan"];
    assert_eq!((plan.requests, plan.in_time), (3, 1));
    assert_eq!((plan.late_first, plan.late_pause), (1, 1));
    assert_eq!(plan.wait, (Span::from_millis(20), Span::from_millis(20)));
    assert_eq!(plan.server.0, Span::from_millis(100));
    assert_eq!(rows["-"].refused, 1);
    let post = &rows["post"];
    assert_eq!((post.requests, post.failed, post.timed_out), (4, 1, 1));
    assert_eq!((post.left, post.open), (1, 1));
    for row in rows.values() {
        let served = row.in_time + row.late_first + row.late_pause;
        let rest = row.refused + row.failed + row.timed_out + row.left + row.open;
        assert_eq!(served + rest, row.requests);
    }
}

#[test]
fn budget_isprinted() {
    let file = File::new(LOG);
    let output = run_with(&["budget", file.path()], &|_| None).expect("a budget");
    assert!(output.text.contains("plan"), "{}", output.text);
    assert_eq!(output.json["plan"]["late_pause"], 1);
}

#[test]
fn budget_withoutrequestsisanerror() {
    let file = File::new("nothing here\n");
    let error = run_with(&["budget", file.path()], &|_| None).expect_err("no lines");
    assert!(matches!(error, Error::Missing(_)), "{error}");
}
