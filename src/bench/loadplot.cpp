#include "bench/loadreport.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

namespace kelptally::bench {

namespace {

constexpr double plotWidth = 860;
constexpr double plotHeight = 260;
constexpr double leftMargin = 70;
constexpr double plotSpacing = 70;
constexpr double topMargin = 40;

const char *const colours[] = {"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf"};

struct Point
{
    double x = 0;
    double milliseconds = 0;
};

struct Series
{
    std::string name;
    std::vector<Point> points;
};

// Line plot with x from 0 to 1 and milliseconds on a logarithmic y axis of whole decades.
class Plot
{
public:
    Plot(double y, std::string title, std::vector<Series> series)
        : y_(y), title_(std::move(title)), series_(std::move(series))
    {
        double minMilliseconds = 1;
        double maxMilliseconds = 1;
        for (const Series &entry : series_) {
            for (const Point &point : entry.points) {
                minMilliseconds = std::min(minMilliseconds, std::max(point.milliseconds, 0.001));
                maxMilliseconds = std::max(maxMilliseconds, point.milliseconds);
            }
        }
        lowDecade_ = std::floor(std::log10(minMilliseconds));
        highDecade_ = std::max(std::ceil(std::log10(maxMilliseconds)), lowDecade_ + 1);
    }

    std::string draw(const std::vector<std::pair<double, std::string>> &ticks) const
    {
        std::string svg = text(leftMargin, y_ - 12, "start", title_);
        for (double decade = lowDecade_; decade <= highDecade_; ++decade) {
            const double at = yOf(std::pow(10, decade));
            svg += line(leftMargin, at, leftMargin + plotWidth, at);
            svg +=
                text(leftMargin - 6, at + 4, "end", absl::StrFormat("%g ms", std::pow(10, decade)));
        }
        for (const auto &[x, name] : ticks) {
            svg += line(xOf(x), y_, xOf(x), y_ + plotHeight);
            svg += text(xOf(x), y_ + plotHeight + 16, "middle", name);
        }
        for (std::size_t i = 0; i < series_.size(); ++i)
            svg += drawSeries(series_[i], i);
        return svg;
    }

private:
    double xOf(double x) const { return leftMargin + x * plotWidth; }
    double yOf(double milliseconds) const
    {
        const double decade = std::log10(std::max(milliseconds, 0.001));
        return y_ + plotHeight * (highDecade_ - decade) / (highDecade_ - lowDecade_);
    }

    static std::string line(double x1, double y1, double x2, double y2)
    {
        return absl::StrFormat("<line x1='%.1f' y1='%.1f' x2='%.1f' y2='%.1f' stroke='#ddd'/>\n",
                               x1, y1, x2, y2);
    }

    static std::string text(double x, double y, const char *anchor, const std::string &value)
    {
        return absl::StrFormat("<text x='%.1f' y='%.1f' text-anchor='%s'>%s</text>\n", x, y, anchor,
                               value);
    }

    std::string drawSeries(const Series &series, std::size_t index) const
    {
        const char *colour = colours[index % std::size(colours)];
        std::string path;
        for (const Point &point : series.points)
            path += absl::StrFormat("%.1f,%.1f ", xOf(point.x), yOf(point.milliseconds));
        const double nameY = y_ + 14 + 16 * double(index);
        return absl::StrFormat(
            "<polyline fill='none' stroke='%s' stroke-width='1.5' points='%s'/>\n"
            "<g fill='%s'>%s</g>\n",
            colour, path, colour, text(leftMargin + 8, nameY, "start", series.name));
    }

    const double y_;
    const std::string title_;
    const std::vector<Series> series_;
    double lowDecade_ = 0;
    double highDecade_ = 1;
};

// Decades of the quantile axis, which is logarithmic in 1 - quantile: 0, 0.9, 0.99, ...
constexpr double quantileDecades = 4;

Series quantileSeries(const std::string &name, std::vector<std::uint32_t> &latency)
{
    constexpr int steps = 200;
    Series series {name, {}};
    for (int i = 0; i <= steps; ++i) {
        const double x = double(i) / steps;
        const double fraction = 1 - std::pow(10, -x * quantileDecades);
        series.points.push_back({x, quantile(latency, fraction) / 1000.0});
    }
    return series;
}

Series timeSeries(const std::string &name, std::vector<LoadSecond> &seconds, double fraction)
{
    Series series {name, {}};
    const double count = std::max<double>(1, double(seconds.size()));
    for (std::size_t i = 0; i < seconds.size(); ++i) {
        auto &latency = seconds[i].latencyMicroseconds;
        if (!latency.empty())
            series.points.push_back(
                {(double(i) + 0.5) / count, quantile(latency, fraction) / 1000.0});
    }
    return series;
}

} // namespace

std::string loadPlot(LoadResult &result)
{
    std::vector<Series> byQuantile;
    for (StatementResult &statement : result.statements)
        byQuantile.push_back(quantileSeries(statement.name, statement.latencyMicroseconds));
    const std::vector<Series> overTime = {timeSeries("median", result.seconds, 0.5),
                                          timeSeries("99%", result.seconds, 0.99),
                                          timeSeries("greatest", result.seconds, 1)};
    const std::vector<std::pair<double, std::string>> quantileTicks = {
        {0, "0"}, {0.25, "90%"}, {0.5, "99%"}, {0.75, "99.9%"}, {1, "99.99%"}};
    const std::string end = absl::StrFormat("%d s", result.seconds.size());
    const double timePlotTop = topMargin + plotHeight + plotSpacing;
    const double height = timePlotTop + plotHeight + topMargin;
    return absl::StrFormat("<svg xmlns='http://www.w3.org/2000/svg' width='%.0f' height='%.0f'"
                           " font-family='sans-serif' font-size='12'>\n"
                           "<rect width='100%%' height='100%%' fill='white'/>\n",
                           leftMargin + plotWidth + 30, height)
        + Plot(topMargin, "Latency from the intended time of sending, by quantile", byQuantile)
              .draw(quantileTicks)
        + Plot(timePlotTop, "Latency of each second", overTime).draw({{0, "0"}, {1, end}})
        + "</svg>\n";
}

} // namespace kelptally::bench
