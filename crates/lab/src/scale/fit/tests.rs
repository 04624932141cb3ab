//! Lines through points.

use super::LinearFit;

#[test]
fn points_on_a_line_give_that_line() {
    let fit = LinearFit::through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0), (8.0, 19.0)]);
    let fit = fit.expect("four points");
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.intercept - 3.0).abs() < 1e-9);
    assert!((fit.r_squared - 1.0).abs() < 1e-9);
    assert!(fit.worst_residual < 1e-9);
}

#[test]
fn points_off_the_line_show_in_the_error() {
    let fit = LinearFit::through(&[(0.0, 0.0), (1.0, 10.0), (2.0, 0.0)]).expect("three points");
    assert!(fit.slope.abs() < 1e-9);
    assert!(fit.r_squared.abs() < 1e-9);
    assert!((fit.worst_residual - 20.0 / 30.0).abs() < 1e-9);
}

#[test]
fn too_few_points_give_no_line() {
    for points in [vec![], vec![(1.0, 1.0)], vec![(1.0, 1.0), (1.0, 2.0)]] {
        assert_eq!(LinearFit::through(&points), None);
    }
}
