//! Costs as a function of a size, for capacity planning.
//!
//! A slope measures one or more costs at several sizes and fits a line to each
//! by least squares. Costs of the decision layers are measured by calling them
//! directly. Costs of whole daemons are measured on idle or loaded deployments
//! over loopback, as the processor time of the daemons' threads and the bytes on
//! the loopback device. The figures are wall-clock measurements and depend on the
//! machine, except for `rollout`, which runs in virtual time.

mod decisions;
mod deployments;
mod hop;
mod recovery;
mod resources;
mod rollout;

use serde::Serialize;

/// Costs at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// Size.
    pub size: f64,
    /// Costs, in the order of the slope's fits.
    pub costs: Vec<f64>,
}

/// Least-squares line through the points of one cost.
#[derive(Clone, Debug, Serialize)]
pub struct Fit {
    /// Measured cost, with its unit.
    pub cost: &'static str,
    /// Cost at size 0.
    pub base: f64,
    /// Additional cost for each unit of size.
    pub each: f64,
    /// Largest distance of a point from the line, as a share of the largest cost.
    pub residual: f64,
}

/// Measurement of costs at several sizes, with a fitted line for each cost.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Name on the command line.
    pub name: &'static str,
    /// Quantity that the size counts.
    pub size: &'static str,
    /// Measured points.
    pub points: Vec<Point>,
    /// Fits, one for each cost.
    pub fits: Vec<Fit>,
}

/// Names of all slopes.
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

/// Measures the slope of a name.
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
            "no slope `{name}`; expected one of: {}",
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
            .map(|(index, cost)| fit(cost, index, &points))
            .collect();
        Self {
            name,
            size,
            points,
            fits,
        }
    }

    /// Report as a text table.
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

/// Fits a line to the cost with an index by least squares.
fn fit(cost: &'static str, index: usize, points: &[Point]) -> Fit {
    let n = points.len() as f64;
    let mean = |value: &dyn Fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(&|point| point.size), mean(&|point| point.costs[index]));
    let covariance: f64 = points
        .iter()
        .map(|point| (point.size - mean_x) * (point.costs[index] - mean_y))
        .sum();
    let variance: f64 = points
        .iter()
        .map(|point| (point.size - mean_x).powi(2))
        .sum();
    let each = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    let base = mean_y - each * mean_x;
    let largest = points
        .iter()
        .map(|point| point.costs[index].abs())
        .fold(f64::EPSILON, f64::max);
    let distance = |point: &Point| (point.costs[index] - base - each * point.size).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max) / largest;
    Fit {
        cost,
        base,
        each,
        residual,
    }
}
