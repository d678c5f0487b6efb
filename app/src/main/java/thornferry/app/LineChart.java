package thornferry.app;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * A line chart that is written to a PNG file. No display is needed.
 *
 * @param title text above the chart
 * @param horizontalLabel label of the x axis
 * @param verticalLabel label of the y axis
 * @param series the lines, in the order of the legend
 */
record LineChart(String title, String horizontalLabel, String verticalLabel, List<Series> series) {
    private static final int WIDTH_PIXELS = 800;
    private static final int HEIGHT_PIXELS = 450;

    static {
        System.setProperty("java.awt.headless", "true");
    }

    /** A point of a line. */
    record Point(double x, double y) {}

    /** A line and its name in the legend. */
    record Series(String name, List<Point> points) {
        Series {
            points = List.copyOf(points);
        }

        private XYSeries toXySeries() {
            XYSeries xySeries = new XYSeries(name);
            points.forEach(point -> xySeries.add(point.x(), point.y()));
            return xySeries;
        }
    }

    LineChart {
        series = List.copyOf(series);
    }

    /** Writes the chart to a file and replaces it if it exists. */
    void write(Path file) throws IOException {
        XYSeriesCollection data = new XYSeriesCollection();
        series.forEach(line -> data.addSeries(line.toXySeries()));
        JFreeChart chart =
                ChartFactory.createXYLineChart(
                        title,
                        horizontalLabel,
                        verticalLabel,
                        data,
                        PlotOrientation.VERTICAL,
                        /* legend= */ true,
                        /* tooltips= */ false,
                        /* urls= */ false);
        XYPlot plot = chart.getXYPlot();
        plot.setRenderer(new XYLineAndShapeRenderer(/* lines= */ true, /* shapes= */ true));
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
    }
}
