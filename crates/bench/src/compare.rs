//! Policies beside one another on the same load.

use std::fmt::Write as _;
use std::path::Path;

use plotters::prelude::{
    BLUE, ChartBuilder, Color, IntoDrawingArea, LineSeries, RED, RGBColor, SVGBackend, WHITE,
};
use serde::Serialize;

use crate::sim::{Experiment, Metrics, Policy};

/// Ratios that the targets are stated in.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Ratios {
    /// First token at the 99th percentile, shared over online only.
    pub ttft_p99: f64,
    /// Whole answer at the 99th percentile, shared over online only.
    pub whole_p99: f64,
    /// Batch tokens over what batch only makes in the capacity that online left idle.
    pub batch: f64,
}

/// Reads a plotted value.
type Read = fn(&crate::sim::Sample) -> f64;

/// Comparison of all policies on one document.
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

    fn of(&self, policy: Policy) -> &Metrics {
        let found = self.runs.iter().find(|(known, _)| *known == policy);
        &found.expect("all policies were run").1
    }

    /// Ratios of the product's policy to the baselines.
    #[must_use]
    pub fn ratios(&self) -> Ratios {
        let (shared, online) = (self.of(Policy::Shared), self.of(Policy::OnlineOnly));
        let full = self.of(Policy::BatchOnly).batch_tokens as f64;
        let idle = full - shared.online_tokens as f64;
        Ratios {
            ttft_p99: shared.ttft.ms(0.99) / online.ttft.ms(0.99),
            whole_p99: shared.whole.ms(0.99) / online.whole.ms(0.99),
            batch: shared.batch_tokens as f64 / idle,
        }
    }

    /// Rows and ratios as JSON.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        let rows: Vec<_> = self
            .runs
            .iter()
            .map(|(policy, m)| m.row(policy.name(), self.experiment.length))
            .collect();
        serde_json::json!({
            "environment": self.experiment.document.environment,
            "seed": self.experiment.seed,
            "rows": rows,
            "ratios": self.ratios(),
        })
    }

    /// Table for a person.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!(
            "{}, seed {}, {} s\n{:12} {:>8} {:>8} {:>7} {:>22} {:>14} {:>9} {:>10} {:>9} {:>8} {:>7}\n",
            self.experiment.document.environment,
            self.experiment.seed,
            self.experiment.length.as_secs(),
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
            let row = metrics.row(policy.name(), self.experiment.length);
            // Writing to a string does not fail.
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

    /// Writes a plot of batch sequences and time to first token over time.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn plot(&self, path: &Path) -> Result<(), String> {
        let failed =
            |e: &dyn std::fmt::Display| format!("{}: cannot be written: {e}", path.display());
        let root = SVGBackend::new(path, (1000, 600)).into_drawing_area();
        root.fill(&WHITE).map_err(|e| failed(&e))?;
        let (upper, lower) = root.split_vertically(300);
        let length = self.experiment.length.as_secs_f64();
        let runs = [
            (Policy::Shared, BLUE),
            (Policy::Fixed, RGBColor(120, 120, 120)),
            (Policy::NoRule, RED),
        ];
        let panels: [(_, &str, Read); 2] = [
            (&upper, "batch sequences", |sample| sample.batch as f64),
            (&lower, "first token p99, ms", |sample| sample.ttft_ms_p99),
        ];
        for (area, title, value) in panels {
            let all = runs
                .iter()
                .flat_map(|(policy, _)| &self.of(*policy).samples);
            let top = all.map(value).fold(1.0, f64::max);
            let mut chart = ChartBuilder::on(area)
                .margin(10)
                .x_label_area_size(20)
                .y_label_area_size(50)
                .build_cartesian_2d(0.0..length, 0.0..top)
                .map_err(|e| failed(&e))?;
            // Labels need fonts; the lines carry the colours of the table's policies.
            for (policy, colour) in runs {
                let points = self.of(policy).samples.iter().map(|s| (s.at_s, value(s)));
                chart
                    .draw_series(LineSeries::new(points, colour.stroke_width(1)))
                    .map_err(|e| format!("{title}: {}", failed(&e)))?;
            }
        }
        root.present().map_err(|e| failed(&e))
    }
}
