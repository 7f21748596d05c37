/// \file
/// Prediction of the duration of pipelines.
#ifndef AMARANTH_COORDINATION_PIPELINEESTIMATOR_H
#define AMARANTH_COORDINATION_PIPELINEESTIMATOR_H

#include "Coordination/TargetTable.h"
#include "State/ServiceDocument.h"

namespace amaranth::coordination {

/// Predicts the time of all stages of a request with \p Tokens output tokens
/// that starts now at \p Place of the engines' queues, from the load and pace
/// (time per unit of work) of the targets. Stages without usable targets count
/// as zero.
Microseconds estimatePipeline(TargetTable &Table,
                              const state::ServiceDocument &Document,
                              double Tokens, QueuePlace Place);

} // namespace amaranth::coordination

#endif
