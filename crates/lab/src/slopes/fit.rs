//! Fits a line through a figure's points with a bootstrap interval, and tests how the figure grows. The bootstrap is
//! seeded: the same points give the same fit.
//!
//! Sizes span a factor of hundreds and noise is proportional to the value, so each point counts by its *relative*
//! distance. A form `value = a + b f(size)` is named where its residual is at most [`MAX_RESIDUAL`] and every other form
//! is clearly worse. A figure within [`MAX_CONSTANT_RESIDUAL`] of one value is constant, whatever other form fits it.

use super::result::{Form, Point};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Largest root mean square relative distance of the points from one value for a figure to count as constant.
pub const MAX_CONSTANT_RESIDUAL: f64 = 0.05;
/// Largest residual of a form that is accepted.
pub const MAX_RESIDUAL: f64 = 0.15;
/// Another form is clearly worse where its residual is this many times as large, and also larger by
/// [`MIN_RESIDUAL_DIFFERENCE`].
pub const MIN_RESIDUAL_RATIO: f64 = 1.5;
/// Smallest difference of two residuals that distinguishes two forms.
pub const MIN_RESIDUAL_DIFFERENCE: f64 = 0.01;
/// Number of bootstrap resamples.
const BOOTSTRAP_DRAWS: usize = 1000;

/// Result of a fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// How the points grow.
    pub form: Form,
    /// Intercept of the line.
    pub intercept: f64,
    /// Slope of the line, for each unit of the driver.
    pub slope: f64,
    /// Lower end of the slope's 95% interval.
    pub slope_low: f64,
    /// Upper end of the slope's 95% interval.
    pub slope_high: f64,
    /// Root mean square distance of the points from the line, relative to each point.
    pub residual: f64,
}

/// A fitted line.
#[derive(Clone, Copy, Debug)]
struct Line {
    intercept: f64,
    slope: f64,
    residual: f64,
}

/// The median; 0 for no values.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match (sorted.len(), sorted.len() / 2) {
        (0, _) => 0.0,
        (n, half) if n % 2 == 1 => sorted[half],
        (_, half) => (sorted[half - 1] + sorted[half]) / 2.0,
    }
}

/// Divisors for relative distances: each value, or a thousandth of the largest value where that is more.
fn scales(values: &[f64]) -> Vec<f64> {
    let most = values.iter().fold(0.0f64, |most, v| most.max(v.abs()));
    // Where all values are zero, each distance is zero whatever the divisor.
    let least = if most > 0.0 { most / 1000.0 } else { 1.0 };
    values.iter().map(|v| v.abs().max(least)).collect()
}

/// Root mean square of relative distances, with the degrees of freedom left after fitting `parameters` parameters.
fn residual(distances: impl Iterator<Item = f64>, points: usize, parameters: usize) -> f64 {
    let sum: f64 = distances.map(|d| d * d).sum();
    (sum / points.saturating_sub(parameters).max(1) as f64).sqrt()
}

/// Weighted least squares line by relative distance; its slope is 0 where all sizes are equal.
fn line(sizes: &[f64], values: &[f64]) -> Line {
    let scales = scales(values);
    let weights: Vec<f64> = scales.iter().map(|s| 1.0 / (s * s)).collect();
    let total_weight: f64 = weights.iter().sum();
    let mean = |of: &[f64]| of.iter().zip(&weights).map(|(v, w)| v * w).sum::<f64>() / total_weight;
    let (mean_size, mean_value) = (mean(sizes), mean(values));
    let each = || sizes.iter().zip(values).zip(&weights);
    let size_squares: f64 = each().map(|((a, _), w)| w * (a - mean_size) * (a - mean_size)).sum();
    let size_value_products: f64 = each().map(|((a, b), w)| w * (a - mean_size) * (b - mean_value)).sum();
    let slope = if size_squares > 0.0 { size_value_products / size_squares } else { 0.0 };
    let intercept = mean_value - slope * mean_size;
    let distances = sizes.iter().zip(values).zip(&scales).map(|((a, b), s)| (b - intercept - slope * a) / s);
    Line { intercept, slope, residual: residual(distances, values.len(), 2) }
}

/// Residual of the best constant for the values.
fn constant_residual(values: &[f64]) -> f64 {
    let scales = scales(values);
    let weight = |s: &f64| 1.0 / (s * s);
    let total_weight: f64 = scales.iter().map(weight).sum();
    let mean = values.iter().zip(&scales).map(|(v, s)| v * weight(s)).sum::<f64>() / total_weight;
    residual(values.iter().zip(&scales).map(|(v, s)| (v - mean) / s), values.len(), 1)
}

/// Form of growth that the values support.
fn growth_form(sizes: &[f64], values: &[f64]) -> Form {
    if sizes.len() < 4 {
        return Form::NotClear;
    }
    if constant_residual(values) <= MAX_CONSTANT_RESIDUAL {
        return Form::Constant;
    }
    let tried = |form: Form, f: fn(f64) -> f64| {
        let transformed: Vec<f64> = sizes.iter().map(|size| f(*size)).collect();
        let line = line(&transformed, values);
        // A figure that falls as the driver grows has none of these forms.
        (form, if line.slope > 0.0 { line.residual } else { f64::INFINITY })
    };
    let mut tried = [
        tried(Form::Linear, |n| n),
        tried(Form::NLogN, |n| n * n.max(1.0).ln()),
        tried(Form::Quadratic, |n| n * n),
    ];
    tried.sort_by(|a, b| a.1.total_cmp(&b.1));
    let [(best, least), (_, next), _] = tried;
    let distinct = next >= least * MIN_RESIDUAL_RATIO && next >= least + MIN_RESIDUAL_DIFFERENCE;
    if least <= MAX_RESIDUAL && distinct { best } else { Form::NotClear }
}

/// Fits the points. The bootstrap resamples whole rounds, as a disturbance affects all sizes of a round.
#[must_use]
pub fn fit(points: &[Point], seed: u64) -> Fit {
    let sizes: Vec<f64> = points.iter().map(|point| point.at).collect();
    let values: Vec<f64> = points.iter().map(|point| median(&point.values)).collect();
    let Line { intercept, slope, residual } = line(&sizes, &values);
    let rounds = points.iter().map(|point| point.values.len()).min().unwrap_or(0);
    let mut rng = SmallRng::seed_from_u64(seed);
    let drawn = |rng: &mut SmallRng| {
        let drawn_rounds: Vec<usize> = (0..rounds).map(|_| rng.random_range(0..rounds)).collect();
        let value = |point: &Point| {
            median(&drawn_rounds.iter().map(|round| point.values[*round]).collect::<Vec<_>>())
        };
        line(&sizes, &points.iter().map(value).collect::<Vec<_>>()).slope
    };
    let mut slopes: Vec<f64> = match rounds {
        0 => vec![slope],
        _ => (0..BOOTSTRAP_DRAWS).map(|_| drawn(&mut rng)).collect(),
    };
    slopes.sort_by(f64::total_cmp);
    let at = |part: f64| slopes[((slopes.len() - 1) as f64 * part).round() as usize];
    Fit {
        form: growth_form(&sizes, &values),
        intercept,
        slope,
        slope_low: at(0.025),
        slope_high: at(0.975),
        residual,
    }
}
