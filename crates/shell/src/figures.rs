//! The recorder of one daemon's figures. Several daemons live in one process, so none installs a global recorder.

use dahliastile_core::metric::{Figure, Sample};
use dahliastile_intake::Report;
use metrics::{Key, Label, Level, Metadata, Recorder, SharedString, Unit};
use metrics_exporter_prometheus::{
    BuildError, Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};

/// Upper bounds of the histograms of times, in seconds.
const SECONDS: [f64; 19] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 60.0,
    120.0, 300.0, 600.0,
];

/// Upper bounds of the histograms of ratios.
const RATIOS: [f64; 10] = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0];

/// The suffix of the names of counters.
const COUNTER: &str = "_total";

const METADATA: Metadata<'static> = Metadata::new(module_path!(), Level::INFO, None);

/// The figures of one daemon.
pub struct Figures {
    /// Takes values in.
    recorder: PrometheusRecorder,
}

impl Figures {
    /// A recorder that knows every figure and has seen no value.
    ///
    /// # Errors
    /// Where a figure's bounds are refused.
    pub fn new(vm: &str) -> Result<Self, BuildError> {
        let mut builder = PrometheusBuilder::new().add_global_label("vm", vm);
        for figure in Figure::ALL {
            let bounds: &[f64] = match figure.unit() {
                "s" => &SECONDS,
                "ratio" => &RATIOS,
                _ => continue,
            };
            let matcher = Matcher::Full(figure.name().to_owned());
            builder = builder.set_buckets_for_metric(matcher, bounds)?;
        }
        let recorder = builder.build_recorder();
        for figure in Figure::ALL {
            describe(&recorder, *figure);
        }
        Ok(Self { recorder })
    }

    /// Counts or observes a value.
    pub fn take(&self, sample: Sample) {
        let name = sample.figure.name();
        let value = sample.value;
        let key = Key::from_parts(name, labels(sample));
        if name.ends_with(COUNTER) {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let count = value.max(0.0) as u64;
            self.recorder
                .register_counter(&key, &METADATA)
                .increment(count);
        } else {
            self.recorder
                .register_histogram(&key, &METADATA)
                .record(value);
        }
    }

    /// Counts so many of a figure that belongs to no service.
    pub(crate) fn count(&self, figure: Figure, count: u64, label: String) {
        let key = Key::from_parts(figure.name(), vec![Label::new("label", label)]);
        let counter = self.recorder.register_counter(&key, &METADATA);
        counter.increment(count);
    }

    /// Shows what clients make the process hold, and counts those that were turned away.
    pub fn show_intake(&self, report: &Report) {
        self.set(Figure::ClientMemory, report.held.0, "held");
        self.set(Figure::ClientMemory, report.capacity.memory.0, "most");
        self.set(Figure::ClientConnections, report.callers, "callers");
        self.set(Figure::ClientConnections, report.others, "others");
        let shed = [
            ("connection", report.tally.connections),
            ("request", report.tally.requests),
            ("yielded", report.tally.yielded),
        ];
        for (label, count) in shed.into_iter().filter(|(_, count)| *count > 0) {
            self.count(Figure::ClientsShed, count, label.to_owned());
        }
    }

    /// Shows the present value of a figure that goes up and down.
    fn set(&self, figure: Figure, value: usize, label: &'static str) {
        let key = Key::from_parts(figure.name(), vec![Label::new("label", label)]);
        let gauge = self.recorder.register_gauge(&key, &METADATA);
        #[allow(clippy::cast_precision_loss)]
        gauge.set(value as f64);
    }

    /// A handle that renders the figures in Prometheus's text form.
    #[must_use]
    pub fn handle(&self) -> PrometheusHandle {
        self.recorder.handle()
    }
}

fn describe(recorder: &PrometheusRecorder, figure: Figure) {
    let name = figure.name().into();
    let meaning = SharedString::from(figure.meaning().trim());
    match figure.unit() {
        "s" => recorder.describe_histogram(name, Some(Unit::Seconds), meaning),
        "ratio" => recorder.describe_histogram(name, None, meaning),
        "bytes" => recorder.describe_gauge(name, Some(Unit::Bytes), meaning),
        "connections" => recorder.describe_gauge(name, Some(Unit::Count), meaning),
        _ => recorder.describe_counter(name, Some(Unit::Count), meaning),
    }
}

fn labels(sample: Sample) -> Vec<Label> {
    let tenant = sample.tenant.map(|t| Label::new("tenant", t.to_string()));
    let class = sample.class.map(|c| Label::new("class", c.to_string()));
    let label = sample.label.map(|l| Label::new("label", l));
    [tenant, class, label].into_iter().flatten().collect()
}
