//! One self-contained page with the tables and plots of an experiment.

use crate::experiment::plots;
use crate::experiment::summary::Cell;
use eyre::Result;
use serde_json::Value;
use std::fmt::Write;

const STYLE: &str = "body{font:15px/1.45 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}\
table{border-collapse:collapse}td,th{border:1px solid #999;padding:.25em .6em;text-align:right}\
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}";

/// Renders the page.
///
/// # Errors
/// When a plot can't be drawn.
pub fn page(deployment: &str, report: &Value, cells: &[Cell]) -> Result<String> {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{deployment}: policies \
         compared</title><style>{STYLE}</style><h1>{deployment}: policies compared</h1>\
         <p>Capacity {:.1} requests/s; seeds {} to {}; in mid-run: {}. The warm-up of 20 s is left \
         out of tables. Intervals are of 95 %.</p>",
        report["capacity"].as_f64().unwrap_or_default(),
        report["seeds"][0],
        report["seeds"][1],
        report["events"].as_str().unwrap_or_default(),
    );
    let mut loads: Vec<f64> = cells.iter().map(|cell| cell.load).collect();
    loads.dedup();
    loads.sort_unstable_by(f64::total_cmp);
    loads.dedup();
    let has_event = report["events"] != "none";
    for load in loads {
        let of_load: Vec<&Cell> = cells.iter().filter(|cell| cell.load == load).collect();
        write!(page, "<h2>At {:.0} % of capacity</h2>", load * 100.0)?;
        write_table(&mut page, report, load)?;
        write_waste(&mut page, &of_load)?;
        for plot in plots::first_tokens(&of_load)? {
            page.push_str(&plot);
        }
        page.push_str(&plots::hits_over_time(&of_load, has_event)?);
        page.push_str(&plots::load_spread(&of_load)?);
        write_comparisons(&mut page, report, load)?;
    }
    page.push_str("</html>\n");
    Ok(page)
}

fn rows_at<'a>(report: &'a Value, list: &str, load: f64) -> Vec<&'a Value> {
    let rows = report[list].as_array().map(Vec::as_slice).unwrap_or_default();
    rows.iter().filter(|row| row["load"] == load).collect()
}

fn write_table(page: &mut String, report: &Value, load: f64) -> Result<()> {
    page.push_str(
        "<table><tr><th>policy<th>requests<th>refused<th>prefix hit rate<th>short p95 ms\
         <th>short p99 ms<th>all p95 ms<th>wasted share</tr>",
    );
    for row in rows_at(report, "rows", load) {
        let number = |key: &str| row[key].as_f64().unwrap_or_default();
        write!(
            page,
            "<tr><td>{}<td>{}<td>{}<td>{:.4} ± {:.4}<td>{:.1} ± {:.1}<td>{:.1}<td>{:.1}<td>{:.4}</tr>",
            row["policy"].as_str().unwrap_or_default(),
            row["requests"],
            row["refused"],
            number("prefix_hit_rate"),
            number("prefix_hit_rate_ci95"),
            number("short_ttft_p95_ms"),
            number("short_ttft_p95_ms_ci95"),
            number("short_ttft_p99_ms"),
            number("ttft_p95_ms"),
            number("wasted_share"),
        )?;
    }
    page.push_str("</table>");
    Ok(())
}

fn write_waste(page: &mut String, cells: &[&Cell]) -> Result<()> {
    page.push_str(
        "<h3>Wasted tokens by cause</h3><table><tr><th>policy<th>held by a live replica\
         <th>attempts thrown away<th>all computed</tr>",
    );
    for cell in cells {
        let sum =
            |of: fn(&crate::experiment::Measures) -> u64| cell.runs.iter().map(of).sum::<u64>();
        write!(
            page,
            "<tr><td>{}<td>{}<td>{}<td>{}</tr>",
            cell.policy,
            sum(|run| run.recomputed),
            sum(|run| run.discarded),
            sum(|run| run.computed)
        )?;
    }
    page.push_str("</table>");
    Ok(())
}

fn write_comparisons(page: &mut String, report: &Value, load: f64) -> Result<()> {
    page.push_str(
        "<h3>Against the first policy, seed by seed</h3><table><tr><th>policy<th>measure<th>is\
         <th>difference</tr>",
    );
    for row in rows_at(report, "comparisons", load) {
        write!(
            page,
            "<tr><td>{}<td>{}<td>{}<td>{:.4} ± {:.4}</tr>",
            row["policy"].as_str().unwrap_or_default(),
            row["measure"].as_str().unwrap_or_default(),
            row["is"].as_str().unwrap_or_default(),
            row["difference"].as_f64().unwrap_or_default(),
            row["ci95"].as_f64().unwrap_or_default(),
        )?;
    }
    page.push_str("</table>");
    Ok(())
}
