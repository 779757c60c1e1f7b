//! OpenTelemetry metrics, exported in the Prometheus text format.

use eyre::WrapErr;
use opentelemetry::{
    KeyValue,
    metrics::{Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The bucket boundaries of the duration histograms, in milliseconds.
const DURATION_BOUNDS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 30_000.0,
    300_000.0,
];

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    _provider: SdkMeterProvider,
}

/// A histogram of durations, labelled by service and class.
#[derive(Debug, Clone)]
pub struct Histogram {
    inner: opentelemetry::metrics::Histogram<u64>,
}

impl Histogram {
    /// Records a duration in milliseconds.
    pub fn record(&self, duration_ms: u64, service: &str, class: &str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("class", class.to_owned()),
        ];
        self.inner.record(duration_ms, &labels);
    }
}

impl Metrics {
    /// Creates an empty set of metrics.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
    pub fn new() -> eyre::Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .wrap_err("the exporter cannot be registered")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("wagtailstall");
        Ok(Metrics { registry, meter, _provider: provider })
    }

    /// Creates a histogram of durations in milliseconds.
    pub fn histogram(&self, name: &'static str) -> Histogram {
        let bounds = DURATION_BOUNDS_MS.to_vec();
        let inner = self.meter.u64_histogram(name).with_unit("ms").with_boundaries(bounds).build();
        Histogram { inner }
    }

    /// Registers the counter `name`, whose values and labels are read with `read_values` at each
    /// scrape.
    pub fn observe(
        &self,
        name: &'static str,
        read_values: impl Fn() -> Vec<(u64, Vec<KeyValue>)> + Send + Sync + 'static,
    ) {
        self.meter
            .u64_observable_counter(name)
            .with_callback(move |observer| {
                for (value, labels) in read_values() {
                    observer.observe(value, &labels);
                }
            })
            .build();
    }

    /// Registers the gauge `name`, whose value is read with `read_value` at each scrape.
    pub fn observe_level(
        &self,
        name: &'static str,
        read_value: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.meter
            .u64_observable_gauge(name)
            .with_callback(move |observer| observer.observe(read_value(), &[]))
            .build();
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn render(&self) -> eyre::Result<String> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .wrap_err("metrics cannot be encoded")?;
        String::from_utf8(text).wrap_err("metrics are not valid UTF-8")
    }
}

/// A label of a metric.
pub use opentelemetry::KeyValue as Label;
