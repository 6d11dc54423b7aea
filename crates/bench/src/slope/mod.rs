//! Costs against sizes, for the capacity page.
//!
//! Each slope measures a cost at several sizes and fits a line. Costs of the
//! decision layers are measured on their own; costs of whole daemons are
//! measured on idle or loaded deployments over loopback, with the processor
//! time of the daemons' threads and the bytes of the loopback device.

mod decisions;
mod deployments;
mod hop;
mod machine;
mod recovery;
mod rollout;

use serde::Serialize;

/// Cost at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// Size.
    pub size: f64,
    /// Costs, in the order of the slope's units.
    pub costs: Vec<f64>,
}

/// Line through the points of one cost.
#[derive(Clone, Debug, Serialize)]
pub struct Fit {
    /// What is measured, with its unit.
    pub cost: &'static str,
    /// Cost at size 0.
    pub base: f64,
    /// Cost of each unit of size.
    pub each: f64,
    /// Largest distance of a point from the line, as a share of the largest cost.
    pub residual: f64,
}

/// Slope: points and fits.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Name.
    pub name: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// Points.
    pub points: Vec<Point>,
    /// Fits, one for each cost.
    pub fits: Vec<Fit>,
}

/// Names of the slopes.
pub const NAMES: [&str; 14] = [
    "peers",
    "replicas",
    "jobs",
    "items",
    "recovery",
    "groups",
    "customers",
    "changes",
    "rollout",
    "shards",
    "fleet",
    "calls",
    "tokens",
    "hop",
];

/// Measures a slope.
///
/// # Errors
///
/// If there is no such slope or a deployment does not start.
pub fn measure(name: &str) -> Result<Slope, String> {
    match name {
        "peers" => Ok(decisions::peers()),
        "replicas" => Ok(decisions::replicas()),
        "jobs" => Ok(decisions::jobs()),
        "items" => Ok(decisions::items()),
        "recovery" => Ok(recovery::recovery()),
        "groups" => Ok(recovery::groups()),
        "rollout" => Ok(rollout::rollout()),
        "customers" => Ok(decisions::customers()),
        "changes" => Ok(decisions::changes()),
        "shards" => deployments::shards(),
        "fleet" => deployments::fleet(),
        "calls" => deployments::calls(),
        "tokens" => deployments::tokens(),
        "hop" => hop::hop(),
        _ => Err(format!(
            "no slope `{name}`; write one of: {}",
            NAMES.join(", ")
        )),
    }
}

impl Slope {
    fn new(
        name: &'static str,
        size: &'static str,
        costs: &[&'static str],
        points: Vec<Point>,
    ) -> Self {
        let fits = costs
            .iter()
            .enumerate()
            .map(|(at, cost)| fit(cost, at, &points))
            .collect();
        Self {
            name,
            size,
            points,
            fits,
        }
    }

    /// Table for a person.
    #[must_use]
    pub fn text(&self) -> String {
        let mut lines = vec![format!("{}: cost against {}", self.name, self.size)];
        for point in &self.points {
            let costs: Vec<String> = point
                .costs
                .iter()
                .map(|cost| format!("{cost:.4}"))
                .collect();
            lines.push(format!("  {:>9} {}", point.size, costs.join("  ")));
        }
        lines.extend(self.fits.iter().map(|fit| {
            format!(
                "  {}: {:.5} + {:.6} each, residual {:.1} %",
                fit.cost,
                fit.base,
                fit.each,
                fit.residual * 100.0
            )
        }));
        lines.join("\n")
    }
}

/// Least squares.
fn fit(cost: &'static str, at: usize, points: &[Point]) -> Fit {
    let n = points.len() as f64;
    let mean = |read: &dyn Fn(&Point) -> f64| points.iter().map(read).sum::<f64>() / n;
    let (x, y) = (mean(&|point| point.size), mean(&|point| point.costs[at]));
    let xy: f64 = points
        .iter()
        .map(|point| (point.size - x) * (point.costs[at] - y))
        .sum();
    let xx: f64 = points.iter().map(|point| (point.size - x).powi(2)).sum();
    let each = if xx > 0.0 { xy / xx } else { 0.0 };
    let base = y - each * x;
    let largest = points
        .iter()
        .map(|point| point.costs[at].abs())
        .fold(f64::EPSILON, f64::max);
    let off = |point: &Point| (point.costs[at] - base - each * point.size).abs();
    let residual = points.iter().map(off).fold(0.0, f64::max) / largest;
    Fit {
        cost,
        base,
        each,
        residual,
    }
}
