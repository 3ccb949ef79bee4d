#pragma once

#include <array>
#include <cstddef>
#include <string_view>

#include "by_telemetry/CounterName.h"
#include "by_telemetry/GaugeName.h"
#include "by_telemetry/HistogramName.h"
#include "by_telemetry/MetricText.h"

namespace by {

/// How metrics stand on /metrics, in the order of CounterName.
inline constexpr std::array kCounterTexts{
  MetricText{ "requests_admitted_total", "Callers' requests that were read" },
  MetricText{ "callers_gone_total", "Callers that closed before their answer" },
  MetricText{ "requests_forwarded_total", "Requests handed to another entry node" },
  MetricText{ "request_retries_total", "Attempts of requests after the first" },
  MetricText{ "task_starts_total", "Starts sent to backend servers" },
  MetricText{ "task_unanswered_total", "Starts that a backend server did not answer" },
  MetricText{ "log_records_total", "Records sent to the platform's log" },
  MetricText{ "log_appends_total", "Appends sent to the platform's log" },
  MetricText{ "log_append_failures_total", "Appends that failed or whose answer was lost" },
  MetricText{ "log_read_failures_total", "Reads of the platform's log that failed" },
  MetricText{ "lease_requests_total", "Lease requests sent to backend servers" },
  MetricText{ "lease_failures_total", "Lease requests that were refused or not answered" },
  MetricText{ "heartbeats_sent_total", "Rounds of heartbeats sent to all peers" },
  MetricText{ "heartbeats_received_total", "Heartbeats received" },
  MetricText{ "peers_unreachable_total", "Connections to peers that broke" },
  MetricText{ "control_sent_bytes_total", "Bytes sent to other entry nodes" },
  MetricText{ "control_received_bytes_total", "Bytes received from other entry nodes" },
};

/// How metrics stand on /metrics, in the order of GaugeName.
inline constexpr std::array kGaugeTexts{
  MetricText{ "ready", "1 while the node takes new work" },
  MetricText{ "log_offset", "Offset up to which the log is applied" },
  MetricText{ "log_read_age_seconds", "Time since the log was last read" },
  MetricText{ "config_version", "Version of the configuration in force" },
  MetricText{ "racks_owned", "Racks that this node owns" },
  MetricText{ "leases_held", "VMs that this node may place on" },
  MetricText{ "vms_set_aside", "VMs that are probed and get no other work" },
  MetricText{ "members_alive", "Entry nodes that are alive, this one included" },
  MetricText{ "queue_length", "Requests that wait in the queue" },
  MetricText{ "requests_held", "Requests whose caller this node holds" },
};

/// How metrics stand on /metrics, in the order of HistogramName.
inline constexpr std::array kHistogramTexts{
  MetricText{ "request_wait_seconds", "Time that answered requests waited before they started" },
  MetricText{ "request_run_seconds", "Time that answered requests ran" },
};

static_assert(kCounterTexts.size() == kCounterNames);
static_assert(kGaugeTexts.size() == kGaugeNames);
static_assert(kHistogramTexts.size() == kHistogramNames);

} // namespace by
