#include "State/BurnPage.h"

#include <algorithm>
#include <cstdio>
#include <string_view>

namespace amaranth::state {

namespace {

constexpr double PlotWidth = 480;
constexpr double PlotHeight = 60;
/// Burn rates above this are drawn at the full height of the plot.
constexpr double PlotMaxBurnRate = 10;

constexpr const char *PageStyle =
    "body{font:14px sans-serif;margin:2em;color:#222}"
    "table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:left;"
    "border-bottom:1px solid #ddd}.bad{color:#b00020;font-weight:bold}"
    "svg{background:#f6f6f6}";

std::string escapeHtml(std::string_view Text) {
  std::string Escaped;
  for (char C : Text) {
    if (C == '&')
      Escaped += "&amp;";
    else if (C == '<')
      Escaped += "&lt;";
    else if (C == '>')
      Escaped += "&gt;";
    else if (C == '"')
      Escaped += "&quot;";
    else
      Escaped.push_back(C);
  }
  return Escaped;
}

std::string formatFixed(double Value, int Decimals = 2) {
  constexpr std::size_t MaxNumberChars = 64;
  char Buffer[MaxNumberChars];
  std::snprintf(Buffer, sizeof(Buffer), "%.*f", Decimals, Value);
  return Buffer;
}

std::string cell(const std::string &Text, bool IsMissed = false) {
  return (IsMissed ? "<td class=\"bad\">" : "<td>") + escapeHtml(Text) +
         "</td>";
}

std::string rectangle(double X, double Y, double Width, double Height,
                      const char *Color) {
  return "<rect x=\"" + formatFixed(X) + "\" y=\"" + formatFixed(Y) +
         "\" width=\"" + formatFixed(Width) + "\" height=\"" +
         formatFixed(Height) + "\" fill=\"" + Color + "\"/>";
}

double burnRateOf(const BurnPoint &Point, const Objective &Goal) {
  if (Point.Accepted_ == 0)
    return 0;
  double MissedShare =
      static_cast<double>(Point.Missed_) / static_cast<double>(Point.Accepted_);
  return MissedShare / (1 - Goal.Attainment_);
}

/// A plot of the burn rate over time, with a line at burn rate 1, where the
/// objective is just met.
std::string historyPlot(const BurnRow &Row) {
  std::string Svg = "<svg width=\"" + formatFixed(PlotWidth, 0) +
                    "\" height=\"" + formatFixed(PlotHeight, 0) +
                    "\" role=\"img\">";
  double PointWidth =
      PlotWidth /
      static_cast<double>(std::max<std::size_t>(Row.History_.size(), 1));
  for (std::size_t I = 0; I < Row.History_.size(); ++I) {
    double BurnRate = burnRateOf(Row.History_[I], Row.Objective_);
    double Height = std::min(BurnRate / PlotMaxBurnRate, 1.0) * PlotHeight;
    if (Height > 0)
      Svg +=
          rectangle(static_cast<double>(I) * PointWidth, PlotHeight - Height,
                    PointWidth, Height, BurnRate > 1 ? "#b00020" : "#2a6f97");
  }
  double ObjectiveY = PlotHeight * (1 - 1 / PlotMaxBurnRate);
  Svg += "<line x1=\"0\" x2=\"" + formatFixed(PlotWidth, 0) + "\" y1=\"" +
         formatFixed(ObjectiveY) + "\" y2=\"" + formatFixed(ObjectiveY) +
         "\" stroke=\"#555\" stroke-dasharray=\"4 3\"/></svg>";
  return Svg;
}

/// A bar chart of each stage's share of the error budget that was spent.
std::string stagePlot(const BurnRow &Row) {
  constexpr double BarHeight = 18;
  constexpr double TextOffset = 13;
  double Height = BarHeight * static_cast<double>(Row.Stages_.size());
  std::string Svg = "<svg width=\"" + formatFixed(PlotWidth, 0) +
                    "\" height=\"" + formatFixed(Height, 0) +
                    "\" role=\"img\">";
  for (std::size_t I = 0; I < Row.Stages_.size(); ++I) {
    const StageBurn &Stage = Row.Stages_[I];
    double Y = BarHeight * static_cast<double>(I);
    Svg += rectangle(0, Y + 1, Stage.BudgetShare_ * PlotWidth, BarHeight - 2,
                     "#e9a23b");
    Svg += "<text x=\"4\" y=\"" + formatFixed(Y + TextOffset) +
           "\" font-size=\"12\">" + escapeHtml(Stage.Stage_) + " " +
           formatFixed(Stage.BudgetShare_ * 100, 0) + " %, " +
           std::to_string(Stage.TimeOverShare_.count()) + " ms over</text>";
  }
  return Svg + "</svg>";
}

std::string overviewRow(const BurnRow &Row) {
  return "<tr>" + cell(Row.Service_) + cell(Row.Account_) +
         cell(formatFixed(Row.Objective_.Attainment_ * 100) + " %") +
         cell(std::to_string(Row.LongWindowBurn_.Accepted_)) +
         cell(std::to_string(Row.LongWindowBurn_.Refused_)) +
         cell(formatFixed(Row.LongWindowBurn_.Attainment_ * 100) + " %",
              Row.LongWindowBurn_.Attainment_ < Row.Objective_.Attainment_) +
         cell(formatFixed(Row.ShortWindowBurn_.BurnRate_),
              Row.ShortWindowBurn_.BurnRate_ > 1) +
         cell(formatFixed(Row.LongWindowBurn_.BurnRate_),
              Row.LongWindowBurn_.BurnRate_ > 1) +
         cell(formatFixed(Row.ShortRequests_.BurnRate_),
              Row.ShortRequests_.BurnRate_ > 1) +
         cell(describeExhaustion(Row)) + "</tr>";
}

std::string rowDetails(const BurnRow &Row) {
  std::string Html = "<h2>" + escapeHtml(Row.Service_ + " / " + Row.Account_) +
                     "</h2><p>Burn rate over the long window; the line marks "
                     "1.</p>" +
                     historyPlot(Row);
  if (!Row.Stages_.empty())
    Html += "<p>Error budget spent by stage.</p>" + stagePlot(Row);
  return Html;
}

} // namespace

std::string toHtml(const BurnSummary &Summary) {
  std::string Page =
      "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>Burn report</title><style>";
  Page += PageStyle;
  Page += "</style></head><body><h1>Burn report of " +
          escapeHtml(Summary.Host_) +
          "</h1><table><tr><th>Service</th><th>Account</th><th>Objective</th>"
          "<th>Accepted</th><th>Refused</th><th>Attainment</th>"
          "<th>Burn 5 min</th><th>Burn 1 h</th><th>Short burn</th>"
          "<th>Exhausted in</th></tr>";
  for (const BurnRow &Row : Summary.Rows_)
    Page += overviewRow(Row);
  Page += "</table>";
  for (const BurnRow &Row : Summary.Rows_)
    if (Row.LongWindowBurn_.Missed_ > 0)
      Page += rowDetails(Row);
  return Page + "</body></html>\n";
}

} // namespace amaranth::state
