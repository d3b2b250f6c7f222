//! The line through a figure's points, its interval, and a test of what the figure grows like. Pure: the draws of the
//! bootstrap are seeded, the same points give the same fit.
//!
//! Sizes span a factor of hundreds and noise is a part of what is measured, so each point counts by its *relative*
//! distance. A form `value = a + b f(size)` is named where its points are within [`BORNE`] of it and every other form
//! is clearly worse; a figure within [`FLAT`] of one value is constant whatever else fits it too.

use super::result::{Form, Point};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A figure whose points are this near to one value, in the mean, does not grow.
pub const MAX_CONSTANT_RESIDUAL: f64 = 0.05;
/// A form that misses the points by more than this, in the mean, is not theirs.
pub const MAX_RESIDUAL: f64 = 0.15;
/// Another form is worse where it misses by this many times as much, and by [`MARGIN`] more.
pub const MIN_RESIDUAL_RATIO: f64 = 1.5;
/// The least difference of two residuals that tells forms apart.
pub const MIN_RESIDUAL_DIFFERENCE: f64 = 0.01;
/// How many times the rounds are drawn anew.
const BOOTSTRAP_DRAWS: usize = 1000;

/// What the points come to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// What they grow like.
    pub form: Form,
    /// Where the line begins.
    pub intercept: f64,
    /// What it rises by for one more of the driver.
    pub slope: f64,
    /// The 95% interval of that.
    pub slope_low: f64,
    /// Its upper end.
    pub slope_high: f64,
    /// How far the points are from the line, each as a part of its point.
    pub residual: f64,
}

/// A line through points.
#[derive(Clone, Copy, Debug)]
struct Line {
    intercept: f64,
    slope: f64,
    residual: f64,
}

/// The value that the rounds bear: half of them are under it.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match (sorted.len(), sorted.len() / 2) {
        (0, _) => 0.0,
        (n, half) if n % 2 == 1 => sorted[half],
        (_, half) => (sorted[half - 1] + sorted[half]) / 2.0,
    }
}

/// What a distance at a value is a part of: the value, or a thousandth of the largest where that is more.
fn scales(values: &[f64]) -> Vec<f64> {
    let most = values.iter().fold(0.0f64, |most, v| most.max(v.abs()));
    // Where all are zero each distance is zero too, whatever it is a part of.
    let least = if most > 0.0 { most / 1000.0 } else { 1.0 };
    values.iter().map(|v| v.abs().max(least)).collect()
}

/// The root of the mean square of relative distances, by the points that are left after `free` figures were chosen.
fn residual(distances: impl Iterator<Item = f64>, points: usize, parameters: usize) -> f64 {
    let sum: f64 = distances.map(|d| d * d).sum();
    (sum / points.saturating_sub(parameters).max(1) as f64).sqrt()
}

/// The line with the least relative distances; flat where all sizes are alike.
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

/// How far the values are from the one that is nearest to all of them.
fn constant_residual(values: &[f64]) -> f64 {
    let scales = scales(values);
    let weight = |s: &f64| 1.0 / (s * s);
    let total_weight: f64 = scales.iter().map(weight).sum();
    let mean = values.iter().zip(&scales).map(|(v, s)| v * weight(s)).sum::<f64>() / total_weight;
    residual(values.iter().zip(&scales).map(|(v, s)| (v - mean) / s), values.len(), 1)
}

/// What the values grow like.
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
        // What falls as the driver grows is none of these.
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

/// Fits the points. Rounds are drawn anew as wholes, as what disturbs a round disturbs all its sizes.
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
