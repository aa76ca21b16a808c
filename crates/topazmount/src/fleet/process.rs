//! Runs the processes of a fleet from start to graceful stop.

use super::control_service::{ControlPlane, ControlPlaneOptions};
use super::dialect::Dialect;
use super::gateway::{Gateway, GatewayOptions};
use super::settings::FleetSettings;
use crate::Executor;
use crate::runtime::{self, SettingsWatch};
use eyre::Result;
use futures_lite::FutureExt;
use std::path::Path;
use std::sync::Arc;

/// Runs a gateway until it is asked to stop.
///
/// # Errors
/// If the settings are invalid or the gateway can't start.
pub async fn run_gateway(executor: Executor, file: &Path, dialect: Arc<dyn Dialect>) -> Result<u8> {
    let mut watch = SettingsWatch::new(file)?;
    let settings = FleetSettings::read(file)?;
    let gateway = Gateway::start(&executor, GatewayOptions { settings, dialect }).await?;
    let reload = || match FleetSettings::read(file) {
        Ok(settings) => gateway.reload(&settings),
        Err(error) => log::error!("gateway: event=reload_refused problem={error:#}"),
    };
    watch.stop_or_reload(reload).await?;
    gateway.stop().await;
    Ok(0)
}

/// Runs a control member until it is asked to stop or its disk fails.
///
/// # Errors
/// If the settings are invalid or the member can't start.
pub async fn run_control(executor: Executor, file: &Path, dialect: Arc<dyn Dialect>) -> Result<u8> {
    let mut watch = SettingsWatch::new(file)?;
    let settings = FleetSettings::read(file)?;
    let options = ControlPlaneOptions { settings, dialect };
    let starting = async { ControlPlane::start(&executor, options).await.map(Some) };
    let mut is_changed = false;
    let stopped = async {
        watch.stop_or_reload(|| is_changed = true).await?;
        Ok(None)
    };
    let Some(control) = starting.or(stopped).await? else {
        log::info!("control: event=stop");
        return Ok(0);
    };
    let reload = || match FleetSettings::read(file) {
        Ok(settings) => control.reload(&settings),
        Err(error) => log::error!("control: event=reload_refused problem={error:#}"),
    };
    if is_changed {
        reload();
    }
    let stopped = async {
        watch.stop_or_reload(reload).await?;
        Ok::<u8, eyre::Report>(0)
    };
    let failed = async {
        control.wait_for_failure().await;
        Ok(runtime::FAILED)
    };
    let status = stopped.or(failed).await?;
    control.stop().await;
    Ok(status)
}
