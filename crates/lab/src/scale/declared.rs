//! Deployments of any size, as declared text.

use std::fmt::Write;
use topazmount_settings::SourceFiles;

/// Zones of generated deployments: three regions with three zones each.
pub const ZONES: usize = 9;

/// A deployment of so many replicas, models and tenants.
pub fn deployment(replicas: usize, models: usize, tenants: usize) -> SourceFiles {
    let mut text = String::from("name = \"scale\"\n[network]\nzone_delay_us = 1500\n");
    let mut line = |part: std::fmt::Arguments<'_>| {
        text.write_fmt(part).expect("writing to memory can't fail");
    };
    for zone in 0..ZONES {
        line(format_args!("[[zone]]\nname = \"zone-{zone}\"\n"));
    }
    for model in 0..models {
        line(format_args!("[[model]]\nname = \"model-{model}\"\n"));
    }
    for replica in 0..replicas {
        let (high, low) = (replica / 250, replica % 250 + 1);
        line(format_args!(
            "[[engine]]\nname = \"engine-{replica}\"\nzone = \"zone-{}\"\n\
             address = \"10.0.{high}.{low}:8000\"\nmodels = [\"model-{}\"]\n",
            replica % ZONES,
            replica % models
        ));
    }
    for tenant in 0..tenants {
        let hash = topazmount_settings::api_key_hash(&format!("key-{tenant}"));
        line(format_args!(
            "[[tenant]]\nname = \"tenant-{tenant}\"\napi_key_hash = \"{hash}\"\n\
             rate_tokens_per_second = 1000000\nburst_tokens = 100000000\n"
        ));
    }
    SourceFiles([("deployment.toml".to_owned(), text)].into())
}
