//! Comparison of the sharing policies on the same load.
//!
//! Runs every policy on one document, seed and duration, and reports a row of
//! metrics for each. The ratios relate the product's policy to the baselines:
//! online latency to a run without batch work, and batch throughput to the
//! capacity that online traffic left idle.

use std::fmt::Write as _;
use std::path::Path;

use plotters::prelude::{
    BLUE, ChartBuilder, Color, IntoDrawingArea, LineSeries, RED, RGBColor, SVGBackend, WHITE,
};
use serde::Serialize;

use crate::sim::{Experiment, Metrics, Policy};

/// Ratios in which the performance targets are stated.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Ratios {
    /// 99th percentile of the time to first token, `shared` over `online-only`.
    pub ttft_p99: f64,
    /// 99th percentile of the time to the complete answer, `shared` over `online-only`.
    pub whole_p99: f64,
    /// Batch tokens of `shared` over the capacity that its online traffic left idle,
    /// which is the tokens of `batch-only` less the online tokens of `shared`.
    pub batch: f64,
}

/// Selects the plotted value of a sample.
type Value = fn(&crate::sim::Sample) -> f64;

/// Runs of all policies of one experiment.
#[derive(Debug)]
pub struct Comparison {
    experiment: Experiment,
    runs: Vec<(Policy, Metrics)>,
}

impl Comparison {
    /// Runs all policies on the same seed.
    #[must_use]
    pub fn run(experiment: Experiment) -> Self {
        let runs = Policy::ALL
            .map(|policy| (policy, experiment.run(policy)))
            .into();
        Self { experiment, runs }
    }

    fn metrics(&self, policy: Policy) -> &Metrics {
        let found = self.runs.iter().find(|(known, _)| *known == policy);
        &found.expect("every policy has a run").1
    }

    /// Ratios of the product's policy to the baselines.
    #[must_use]
    pub fn ratios(&self) -> Ratios {
        let (shared, online) = (
            self.metrics(Policy::Shared),
            self.metrics(Policy::OnlineOnly),
        );
        let full = self.metrics(Policy::BatchOnly).batch_tokens as f64;
        let idle = full - shared.online_tokens as f64;
        Ratios {
            ttft_p99: shared.ttft.ms(0.99) / online.ttft.ms(0.99),
            whole_p99: shared.total_latency.ms(0.99) / online.total_latency.ms(0.99),
            batch: shared.batch_tokens as f64 / idle,
        }
    }

    /// Report as JSON, with rows and ratios.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        let rows: Vec<_> = self
            .runs
            .iter()
            .map(|(policy, m)| m.row(policy.name(), self.experiment.duration))
            .collect();
        serde_json::json!({
            "environment": self.experiment.document.environment,
            "seed": self.experiment.seed,
            "rows": rows,
            "ratios": self.ratios(),
        })
    }

    /// Report as a text table.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!(
            "{}, seed {}, {} s\n{:12} {:>8} {:>8} {:>7} {:>22} {:>14} {:>9} {:>10} {:>9} {:>8} {:>7}\n",
            self.experiment.document.environment,
            self.experiment.seed,
            self.experiment.duration.as_secs(),
            "policy",
            "online",
            "ok",
            "extra",
            "ttft p50/95/99 ms",
            "itl p95/99 ms",
            "whole p99",
            "batch tok/s",
            "gave way/s",
            "give ms",
            "hits"
        );
        for (policy, metrics) in &self.runs {
            let row = metrics.row(policy.name(), self.experiment.duration);
            // Writing to a `String` cannot fail.
            writeln!(
                text,
                "{:12} {:>8} {:>8.4} {:>7.4} {:>8.0}/{:>6.0}/{:>6.0} {:>7.1}/{:>6.1} {:>9.0} {:>10.0} {:>9.1} {:>8.0} {:>7.3}",
                row.policy,
                row.online_sent,
                row.online_ok,
                row.extra_attempts,
                row.ttft_ms_p50,
                row.ttft_ms_p95,
                row.ttft_ms_p99,
                row.itl_ms_p95,
                row.itl_ms_p99,
                row.whole_ms_p99,
                row.batch_tokens_per_s,
                row.gave_way_per_s,
                row.give_way_ms,
                row.prefix_hits
            )
            .ok();
        }
        let ratios = self.ratios();
        write!(
            text,
            "shared / online-only: first token p99 {:.2}, whole answer p99 {:.2}; batch of idle capacity {:.2}",
            ratios.ttft_p99, ratios.whole_p99, ratios.batch
        )
        .ok();
        text
    }

    /// Writes an SVG plot of batch sequences and time to first token over time.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn plot(&self, path: &Path) -> Result<(), String> {
        let write_error =
            |e: &dyn std::fmt::Display| format!("{}: cannot be written: {e}", path.display());
        let root = SVGBackend::new(path, (1000, 600)).into_drawing_area();
        root.fill(&WHITE).map_err(|e| write_error(&e))?;
        let (upper, lower) = root.split_vertically(300);
        let duration = self.experiment.duration.as_secs_f64();
        let runs = [
            (Policy::Shared, BLUE),
            (Policy::Fixed, RGBColor(120, 120, 120)),
            (Policy::NoRule, RED),
        ];
        let panels: [(_, &str, Value); 2] = [
            (&upper, "batch sequences", |sample| sample.batch as f64),
            (&lower, "first token p99, ms", |sample| sample.ttft_ms_p99),
        ];
        for (area, title, value) in panels {
            let all = runs
                .iter()
                .flat_map(|(policy, _)| &self.metrics(*policy).samples);
            let top = all.map(value).fold(1.0, f64::max);
            let mut chart = ChartBuilder::on(area)
                .margin(10)
                .x_label_area_size(20)
                .y_label_area_size(50)
                .build_cartesian_2d(0.0..duration, 0.0..top)
                .map_err(|e| write_error(&e))?;
            // Text would need fonts, so there is no legend: the colours in `runs` identify
            // the policies.
            for (policy, colour) in runs {
                let points = self
                    .metrics(policy)
                    .samples
                    .iter()
                    .map(|s| (s.at_s, value(s)));
                chart
                    .draw_series(LineSeries::new(points, colour.stroke_width(1)))
                    .map_err(|e| format!("{title}: {}", write_error(&e)))?;
            }
        }
        root.present().map_err(|e| write_error(&e))
    }
}
