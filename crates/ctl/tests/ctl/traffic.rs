//! What VMs cost each other, from their figures.

use crate::support::{File, run_with};
use dahliastile_ctl::{Error, traffic};

/// The figures of two VMs, as they are served.
const PAGES: &str = "\
# TYPE dahliastile_outside_calls_total counter
dahliastile_outside_calls_total{vm=\"vm1\",label=\"watch\"} 40
dahliastile_outside_calls_total{vm=\"vm1\",label=\"lease_renew\"} 8
dahliastile_peer_sent_bytes_total{vm=\"vm1\",label=\"news_beyond\"} 1200
dahliastile_peer_sent_messages_total{vm=\"vm1\",label=\"news_beyond\"} 10
dahliastile_refused_total{vm=\"vm1\",label=\"scheduler\",class=\"drafts\"} 3
dahliastile_queue_wait_seconds_sum{vm=\"vm1\"} 0.5
dahliastile_outside_calls_total{vm=\"vm2\",label=\"lease_renew\"} 9
dahliastile_peer_sent_bytes_total{vm=\"vm2\",label=\"news_beyond\"} 300
dahliastile_peer_sent_messages_total{vm=\"vm2\",label=\"news_beyond\"} 3
";

#[test]
fn traffic_addsup() {
    let traffic = traffic(PAGES);
    assert_eq!(traffic.vms, 2);
    assert_eq!(traffic.calls["watch"].all, 40);
    let renewals = &traffic.calls["lease_renew"];
    assert_eq!((renewals.all, renewals.most), (17, 9));
    assert_eq!(renewals.vm, "vm2");
    let news = &traffic.messages["news_beyond"];
    assert_eq!((news.messages.all, news.bytes.all), (13, 1_500));
    assert_eq!((news.bytes.most, news.bytes.vm.as_str()), (1_200, "vm1"));
    assert_eq!(traffic.messages.len(), 1);
}

#[test]
fn traffic_isprinted() {
    let file = File::new(PAGES);
    let output = run_with(&["traffic", file.path()], &|_| None).expect("a table");
    assert!(output.text.contains("news_beyond"), "{}", output.text);
    assert_eq!(output.json["calls"]["watch"]["all"], 40);
}

#[test]
fn traffic_withoutfiguresisanerror() {
    let file = File::new("nothing here\n");
    let error = run_with(&["traffic", file.path()], &|_| None).expect_err("no figures");
    assert!(matches!(error, Error::Missing(_)), "{error}");
}
