//! Figures read from the VMs' metrics pages.

use std::collections::BTreeMap;

use super::stage::{OPERATOR_TOKEN, Stage};

/// The name of the histogram of load stalls.
const LOAD_STALL: &str = "dahliastile_load_stall_seconds_bucket";
/// The longest time to read a page, in seconds.
const TIMEOUT: u64 = 5;
/// The share of requests that the high bound covers.
const HIGH: f64 = 0.95;

/// Counts by upper bound, for each tenant and class.
#[derive(Debug, Default)]
pub(super) struct Stalls(BTreeMap<(String, String), Vec<(f64, f64)>>);

impl Stalls {
    /// Adds the figures of one VM.
    pub(super) fn read(&mut self, stage: &Stage, vm: usize) {
        let url = format!("http://{}/metrics", stage.vms[vm].addresses.operators);
        let page = minreq::get(url)
            .with_header("Authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .with_timeout(TIMEOUT)
            .send();
        let page = page.ok();
        let text = page.as_ref().and_then(|page| page.as_str().ok());
        text.unwrap_or_default()
            .lines()
            .for_each(|line| self.take(line));
    }

    /// How many requests of a tenant and class waited for a load, and the bound below which 95 in a hundred of them stayed, in
    /// milliseconds.
    pub(super) fn high(&self, tenant: &str, class: &str) -> (u64, Option<f64>) {
        let Some(buckets) = self.0.get(&(tenant.to_owned(), class.to_owned())) else {
            return (0, None);
        };
        let total = buckets.iter().map(|(_, count)| *count).fold(0.0, f64::max);
        let bound = buckets.iter().filter(|(_, count)| *count >= total * HIGH);
        let bound = bound.map(|(bound, _)| *bound).fold(f64::INFINITY, f64::min);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let count = total as u64;
        (count, (total > 0.0).then_some(bound * 1000.0))
    }

    /// Takes a line such as `name_bucket{tenant="a",le="0.1"} 3` in.
    fn take(&mut self, line: &str) {
        let Some((labels, value)) = line
            .strip_prefix(LOAD_STALL)
            .and_then(|rest| rest.split_once("} "))
        else {
            return;
        };
        let label = |name: &str| {
            let (_, rest) = labels.split_once(&format!("{name}=\""))?;
            rest.split_once('"').map(|(value, _)| value)
        };
        let (Some(tenant), Some(class), Some(bound)) =
            (label("tenant"), label("class"), label("le"))
        else {
            return;
        };
        let bound = bound.parse().unwrap_or(f64::INFINITY);
        let value = value.trim().parse().unwrap_or(0.0);
        let buckets = self
            .0
            .entry((tenant.to_owned(), class.to_owned()))
            .or_default();
        match buckets
            .iter_mut()
            .find(|(there, _)| there.total_cmp(&bound).is_eq())
        {
            Some((_, count)) => *count += value,
            None => buckets.push((bound, value)),
        }
    }
}
