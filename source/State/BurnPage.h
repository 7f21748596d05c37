/// \file
/// The burn report as a web page.
#ifndef AMARANTH_STATE_BURNPAGE_H
#define AMARANTH_STATE_BURNPAGE_H

#include "State/BurnSummary.h"

#include <string>

namespace amaranth::state {

/// Formats \p Summary as a self-contained HTML page with inline SVG plots; the
/// page loads no other resources.
std::string toHtml(const BurnSummary &Summary);

} // namespace amaranth::state

#endif
